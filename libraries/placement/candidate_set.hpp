#pragma once

#include <placement/prediction_history.hpp>
#include <placement/rendezvous.hpp>

#include <cstdint>
#include <vector>

namespace cairnhead
{

/// One upstream of one service, prepared for the cheap path.
struct service_member
{
    /// Its place among the states of all upstreams.
    std::size_t state_index = 0;
    weighted_upstream key;
    /// One divided by slots times share.
    double inverse_weight = 1.0;
};

/// One service as placement sees it.
struct service_state
{
    service_id id;
    std::vector<service_member> members;
    prediction_history history;
};

/// An upstream that may take an opening.
struct candidate
{
    upstream_id id;
    /// Place in the flow's order of preference; the lowest comes first.
    std::uint64_t rank = 0;
    std::uint32_t slots = 1;
    std::uint32_t flows = 0;
    /// Flows per slot and share once it took the opening.
    double load = 0.0;
    bool is_full = false;
};

} // namespace cairnhead
