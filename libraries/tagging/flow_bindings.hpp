#pragma once

#include <base/identifiers.hpp>
#include <base/time.hpp>
#include <registry/tag.hpp>

#include <absl/container/flat_hash_map.h>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace cairnhead
{

/// Largest distance between the acknowledgement numbers of two packets of one
/// flow; larger than any answer between them. The number of an unrelated flow,
/// which starts at random, is this close by chance once in two thousand times.
inline constexpr std::uint32_t maximum_number_distance = 1U << 20U;

/// Whether both acknowledgement numbers may belong to one flow. TCP's numbers
/// wrap around. No precondition. Thread-safe, as it shares no state.
[[nodiscard]] constexpr bool
may_be_same_flow(std::uint32_t acknowledged, std::uint32_t earlier)
{
    return acknowledged - earlier + maximum_number_distance <
           2 * maximum_number_distance;
}

/// Upstreams of flows whose packets may carry the tag of another upstream, as
/// this VM saw or as others told. A VM that does not know such a flow cannot
/// send its packets anywhere. How long the flow's caller pauses does not
/// matter.
/// No method has a precondition; none is thread-safe: only the reducer's thread
/// calls them.
class flow_bindings
{
public:
    /// Records a flow's upstream until `expires_at`, by which the flow has
    /// ended. `acknowledged` is the acknowledgement number of one of its
    /// packets.
    void record(
        time_point now,
        time_point expires_at,
        flow_id flow,
        upstream_tag upstream,
        std::uint32_t acknowledged);

    /// The upstream of the flow that a packet with this acknowledgement number
    /// belongs to.
    [[nodiscard]] std::optional<upstream_tag>
    find(flow_id flow, std::uint32_t acknowledged) const;

    /// Removes the flow.
    void remove(flow_id flow);

    /// Removes what has expired.
    void expire(time_point now);

    [[nodiscard]] std::size_t size() const;

private:
    struct binding
    {
        upstream_tag upstream;
        std::uint32_t acknowledged = 0;
        time_point expires_at;
    };

    struct expiry
    {
        time_point at;
        flow_id flow;
    };

    absl::flat_hash_map<flow_id, binding> bindings;
    /// In the order of their times. A flow that was recorded again has several.
    std::deque<expiry> expiries;
};

} // namespace cairnhead
