#pragma once

#include <base/identifiers.hpp>

#include <cstdint>
#include <optional>
#include <span>

/// Weighted rendezvous hashing of flows over upstreams, in integer arithmetic
/// only: all VMs must compute identical ranks, and the logarithm of the C
/// library may differ between releases that run side by side.
namespace cairnhead
{

/// An upstream and its weight in slots.
struct weighted_upstream
{
    /// Zero slots count as one. No precondition.
    weighted_upstream(upstream_id upstream, std::uint32_t slots);

    upstream_id id;
    /// 1 / slots as a fixed-point number, kept because a division costs as much
    /// as the hash itself.
    std::uint64_t inverse_slots;

    bool operator==(weighted_upstream const&) const = default;
};

/// Returns the upstream's rank in the flow's order of preference; the lowest
/// rank is the flow's first choice. Each upstream is the first choice of a
/// fraction of flows in proportion to its slots.
/// No precondition. Thread safety: any number of concurrent callers.
[[nodiscard]] std::uint64_t
rendezvous_rank(flow_id flow, weighted_upstream const& candidate);

/// Returns the flow's first choice, or nothing when there is no candidate.
/// No precondition. Thread safety: any number of concurrent callers.
[[nodiscard]] std::optional<upstream_id>
first_choice(flow_id flow, std::span<weighted_upstream const> candidates);

} // namespace cairnhead
