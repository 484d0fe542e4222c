#pragma once

#include <placement/prediction_history.hpp>
#include <placement/rendezvous.hpp>

#include <absl/container/inlined_vector.h>
#include <cstdint>
#include <span>
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

/// A few candidates, the flow's first choice first.
using candidate_shortlist = absl::InlinedVector<candidate const*, 8>;

/// The flow's first choices, at most `count`. Precondition: `candidates`
/// outlives the result and `count` is above zero.
/// Thread safety: any number of concurrent callers.
[[nodiscard]] candidate_shortlist
first_choices(std::span<candidate const> candidates, std::size_t count);

} // namespace cairnhead
