#pragma once

#include <base/identifiers.hpp>
#include <base/time.hpp>
#include <event/event.hpp>
#include <rating/request_timer.hpp>
#include <registry/tag.hpp>

#include <absl/container/flat_hash_map.h>
#include <optional>
#include <vector>

namespace cairnhead
{

/// State of a flow's connection, derived from the caller's packets alone.
enum class tagged_flow_state : std::uint8_t
{
    /// The opening was sent; the caller has not confirmed an answer.
    opening,
    established,
    /// The caller sent FIN.
    closing,
};

/// Entry of a flow whose packets pass this VM.
struct tagged_flow
{
    flow_id id{};
    endpoint caller;
    endpoint destination;
    upstream_tag upstream;
    tagged_flow_state state = tagged_flow_state::opening;
    /// Sequence number of the opening, if this VM sent it.
    std::uint32_t opening_sequence = 0;
    /// When this VM last sent the opening; `time_point::min()` for a flow that
    /// another VM placed.
    time_point opened_at;
    time_point expires_at;
    /// The numbers of the flow's latest packets that passed this VM.
    std::optional<flow_progress> progress;
    time_point last_packet_at;
    /// When the caller last sent data that was no retransmission.
    time_point last_new_data_at{};
    /// Whether the latest data has not been answered yet.
    bool awaits_answer = false;
    /// Whether other upstreams may hold the flow's opening, too: their answers
    /// change the tag of the caller's packets.
    bool is_contested = false;
    /// Used only where upstreams are rated.
    request_timer requests;
};

/// Table of the flows whose packets pass this VM.
///
/// A flow that moves to another VM needs no entry there: the tag of its packets
/// names its upstream. The entries serve to send retransmissions of an opening
/// to the same upstream, and to count the load of upstreams.
/// No method has a precondition unless its comment states one; none is
/// thread-safe: only the reducer's thread calls them.
class tagged_flows
{
public:
    explicit tagged_flows(std::size_t maximum_flows);

    /// The flow's entry, or nullptr; valid until the next change.
    [[nodiscard]] tagged_flow* find(flow_id flow);
    [[nodiscard]] tagged_flow const* find(flow_id flow) const;

    /// Adds a flow and returns its entry; nullptr if the table is full.
    /// Precondition: the flow has no entry.
    tagged_flow* insert(flow_id flow, tagged_flow const& added);

    void remove(flow_id flow);

    /// Removes all expired flows, and calls `on_expired` for each.
    template <typename Function>
    void expire(time_point now, Function const& on_expired)
    {
        absl::erase_if(
            this->flows,
            [&](auto const& entry)
            {
                bool const is_expired = entry.second.expires_at <= now;
                if (is_expired)
                    on_expired(entry.second);
                return is_expired;
            });
    }

    /// Calls `visitor` for each flow, in no particular order.
    template <typename Function>
    void visit(Function const& visitor) const
    {
        for (auto const& [id, flow] : this->flows)
            visitor(flow);
    }

    /// Removes all established flows of an upstream, and returns them sorted by
    /// caller.
    [[nodiscard]] std::vector<tagged_flow>
    take_established(upstream_tag upstream);

    [[nodiscard]] std::size_t size() const;

    /// Whether one more flow can be added.
    [[nodiscard]] bool has_room() const;

private:
    std::size_t maximum;
    absl::flat_hash_map<flow_id, tagged_flow> flows;
};

} // namespace cairnhead
