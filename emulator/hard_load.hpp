#pragma once

#include <emulator/emulated_traffic.hpp>

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

namespace cairnhead::emulator
{

/// The routes of the load, in the order in which they are published.
enum class load_route : std::uint8_t
{
    /// Long flows, repeatable.
    feed,
    /// Requests that must run once, on a flow each.
    once,
    /// Uploads on a flow each, to the small pool.
    upload,
};

inline constexpr std::size_t load_routes = 3;
inline constexpr std::size_t load_domains = 3;

[[nodiscard]] std::string_view to_text(load_route route);

/// A time in which demand exceeds the upstreams' capacity, or is spread
/// unevenly over them. docs/design/hard-load.md has the deployments that such
/// times come from.
struct load_pattern
{
    std::string_view name;
    /// What the routes' usual rates are multiplied by.
    std::array<double, load_routes> factors{1, 1, 1};
    /// Shares of all upstreams.
    double slow = 0;
    double dead = 0;
    double failing = 0;
    /// Callers of each failure domain, relative to the others'.
    std::array<double, load_domains> domain_weights{1.35, 1.175, 1};
};

[[nodiscard]] std::vector<load_pattern> const& load_patterns();

/// How flows get their upstreams: by VMs with that setting, or else.
struct placement_method
{
    std::string_view name;
    placement_rule rule = placement_rule::flows;
    request_placer placer = request_placer::vms;
};

/// How large an experiment is. The ratio of load to slots stays what it is.
struct load_size
{
    std::uint32_t vms = 24;
    /// Of the large and of the small pool.
    std::array<std::uint32_t, 2> upstreams{120, 30};
};

struct load_result
{
    std::vector<load_outcome> by_route;
    /// Requests that two upstreams worked on, or one twice.
    std::uint64_t run_twice = 0;
};

/// Plays a pattern, for the length of which arriving requests are counted. The
/// same pattern, size and seed give the same requests for each method.
/// Thread safety: no shared state. No precondition.
[[nodiscard]] load_result play_load(
    load_pattern const& pattern,
    placement_method const& method,
    load_size const& size,
    std::uint64_t seed);

} // namespace cairnhead::emulator
