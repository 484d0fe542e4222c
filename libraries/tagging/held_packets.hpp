#pragma once

#include <base/time.hpp>
#include <event/event.hpp>

#include <absl/container/flat_hash_map.h>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace cairnhead
{

/// A copy of a packet. The token of the event has ended, and its bytes are in
/// `bytes`.
struct held_packet
{
    packet_arrived arrived;
    std::vector<std::uint8_t> bytes;
};

/// Packets of one flow that wait until other VMs have told its upstream.
struct held_flow
{
    /// Then the packets wait no longer.
    time_point due_at;
    std::vector<held_packet> packets;
};

/// Holds packets of flows that this VM does not know, in the order of their
/// arrival.
/// No method has a precondition unless its comment states one; none is
/// thread-safe: only the reducer's thread calls them.
class held_packets
{
public:
    /// Whether packets of the flow are held.
    [[nodiscard]] bool contains(flow_id flow) const;

    /// Whether one more packet can be held.
    [[nodiscard]] bool has_room() const;

    /// Holds a copy of the packet. If it is the flow's first, the flow is due
    /// at `due_at`. Precondition: `has_room()`, and no flow was added with a
    /// later deadline.
    void add(packet_arrived const& packet, time_point due_at);

    /// Removes the flow and returns it; nothing if none of its packets are
    /// held.
    [[nodiscard]] std::optional<held_flow> take(flow_id flow);

    /// Removes the next flow whose deadline has passed, and returns it.
    [[nodiscard]] std::optional<held_flow> take_due(time_point now);

    /// The next deadline; nothing if no packet is held.
    [[nodiscard]] std::optional<time_point> next_due() const;

private:
    /// Removes deadlines of flows that were taken.
    void remove_old_deadlines();

    struct deadline
    {
        time_point at;
        flow_id flow;
    };

    absl::flat_hash_map<flow_id, held_flow> flows;
    std::deque<deadline> deadlines;
    std::size_t packet_count = 0;
};

} // namespace cairnhead
