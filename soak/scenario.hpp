#pragma once

#include <base/time.hpp>
#include <event/settings.hpp>

#include <cstdint>
#include <filesystem>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace cairnhead::soak
{

/// What is done to the programs, from outside them.
enum class fault_kind : std::uint8_t
{
    /// SIGKILL; the VM starts again at the fault's end.
    kill_vm,
    /// SIGTERM, a planned leave; the VM starts again at the fault's end, or
    /// when it has left.
    stop_vm,
    /// SIGSTOP until the fault's end.
    pause_vm,
    /// Other settings and SIGHUP.
    reload_settings,
    /// Other settings without a signal.
    change_settings,
    /// The store answers 503.
    store_down,
    /// The store's answers take longer.
    store_slow,
    /// The store forgets its history.
    store_forgets,
    /// Connections of a VM to the store go silent, for good.
    link_silent,
    /// Connections of a VM to the store are reset, new ones too.
    link_reset,
    /// Calls reach the store, answers do not come back.
    link_one_way,
    /// Bytes between a VM and the store are held up.
    link_slow,
    /// Packets of callers are lost before the VMs and behind them.
    packets_lost,
    packets_doubled,
    packets_late,
    /// An upstream leaves as planned; another takes its place.
    drain_upstream,
    /// An upstream's process dies; its machine resets flows.
    crash_upstream,
    /// An upstream's machine dies.
    lose_upstream,
    /// An upstream dies, and one of the other service gets its address.
    reuse_address,
    /// An upstream accepts flows and connections, and takes longer.
    slow_upstream,
    /// Routes are added and removed.
    change_routes,
    /// A VM and its peers do not hear each other.
    peers_cut,
    /// A VM does not hear its peers; they hear it.
    peers_one_way,
    /// Datagrams between all VMs are lost, doubled and late.
    peers_harmed,
    /// A third of the upstreams take longer.
    slow_upstreams,
    /// A quarter of the upstreams answer requests with errors, at once.
    failing_upstreams,
};

inline constexpr std::size_t fault_kinds = 26;

/// Scenarios of lower seeds have no faults between VMs, and those below the
/// second bound no faults of many upstreams at once, and VMs that place by
/// flows. They stay what they were, as seeds that failed are kept.
inline constexpr std::uint64_t first_seed_of_peer_kinds = 1'000;
inline constexpr std::uint64_t first_seed_of_upstream_kinds = 100'000;

[[nodiscard]] std::string_view to_text(fault_kind kind);

struct fault
{
    /// From the moment when all VMs are ready.
    duration at{};
    fault_kind kind = fault_kind::kill_vm;
    /// The number of the VM or upstream; taken modulo how many there are.
    std::uint32_t target = 0;
    duration length{};
};

/// One run: the same text gives the same faults at the same times.
struct scenario
{
    std::uint64_t seed = 0;
    std::uint32_t vms = 4;
    std::uint32_t upstreams = 8;
    std::uint32_t callers = 40;
    /// Setting of all VMs.
    placement_rule placement = placement_rule::flows;
    /// Faults come within this; then the system is given time to recover.
    duration length = std::chrono::seconds(14);
    std::vector<fault> faults;
};

/// A scenario that cannot be read: file, line and reason.
class scenario_rejected : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// A scenario from a seed: faults alone, in series and overlapping.
/// Thread safety: no shared state. Precondition: there are VMs.
[[nodiscard]] scenario draw_scenario(std::uint64_t seed, std::uint32_t vms);

/// The scenario as YAML, to be edited and played again.
/// Thread safety: no shared state. No precondition.
[[nodiscard]] std::string write_scenario(scenario const& plan);

/// Throws `scenario_rejected`. Thread safety: no shared state.
[[nodiscard]] scenario read_scenario(std::filesystem::path const& file);

} // namespace cairnhead::soak
