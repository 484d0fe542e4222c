#pragma once

#include <base/time.hpp>

#include <cstdint>
#include <vector>

namespace cairnhead::emulator
{

/// The requests of one service.
struct route_load
{
    /// Its number in `topology::services`.
    std::uint32_t route = 0;
    double requests_per_second = 0;
    /// In the mean. One: each request has a flow of its own.
    std::uint32_t requests_per_flow = 1;
    /// Time that a request keeps a slot busy, in the mean. Each takes between
    /// half and one and a half of it.
    duration work{};
    std::uint32_t answer_length = 0;
    /// An answer after this is late.
    duration target{};
    /// Whether a request may be sent again that may have run.
    bool is_repeatable = false;
};

/// Who gives requests their upstreams.
enum class request_placer : std::uint8_t
{
    /// The VMs.
    vms,
    /// The callers themselves, who know each queue and each request's work, and
    /// have a new flow for each request. A request that could not be answered
    /// in time is refused. It takes the earliest answer for each request in
    /// turn, so that a schedule of all requests together could do better yet.
    knows_all,
    /// As above, but flows stay where they are, as with VMs.
    knows_all_at_openings,
};

/// Requests that arrive at a rate, whatever becomes of earlier ones.
struct request_load
{
    /// Empty: callers as `traffic_shape` has them otherwise.
    std::vector<route_load> routes;
    /// Callers of each failure domain, relative to the others'.
    std::vector<double> domain_weights;
    request_placer placer = request_placer::vms;
};

} // namespace cairnhead::emulator
