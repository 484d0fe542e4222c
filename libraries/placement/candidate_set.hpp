#pragma once

#include <placement/prediction_history.hpp>
#include <placement/rendezvous.hpp>

#include <absl/container/inlined_vector.h>
#include <cstdint>
#include <span>
#include <vector>

namespace cairnhead
{

/// One upstream of one service, with the values that each opening needs
/// computed in advance.
struct service_member
{
    /// Index into the states of all upstreams.
    std::size_t state_index = 0;
    weighted_upstream key;
    /// 1 / (slots * share).
    double inverse_weight = 1.0;
};

/// One service as placement sees it: its upstreams and the recent sets of them.
struct service_state
{
    service_id id;
    std::vector<service_member> members;
    prediction_history history;
};

/// An upstream that is eligible for the opening that is being placed. It may be
/// full.
struct candidate
{
    upstream_id id;
    /// Rank in the flow's order of preference; the lowest is the first choice.
    std::uint64_t rank = 0;
    std::uint32_t slots = 1;
    std::uint32_t flows = 0;
    /// Flows per slot, divided by the share, with this opening included.
    double load = 0.0;
    bool is_full = false;
};

/// The flow's first choices in order of preference.
using candidate_shortlist = absl::InlinedVector<candidate const*, 8>;

/// Returns the flow's first choices, at most `count`, in order of preference.
/// Precondition: `candidates` outlives the result and `count` is above zero.
/// Thread safety: any number of concurrent callers.
[[nodiscard]] candidate_shortlist
first_choices(std::span<candidate const> candidates, std::size_t count);

} // namespace cairnhead
