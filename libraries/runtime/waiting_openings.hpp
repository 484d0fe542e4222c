#pragma once

#include <base/time.hpp>
#include <runtime/receive_batch.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace cairnhead
{

/// A copy of a datagram that contains an opening.
struct waiting_opening
{
    socket_address source;
    wall_time received_at;
    std::vector<std::uint8_t> bytes;
    /// When it was added, and how long it had waited in the socket by then.
    time_point added_at;
    duration waited_before{};

    /// The datagram as it was read from the socket; valid as long as this
    /// object.
    [[nodiscard]] received_datagram datagram() const;

    /// Measured by the monotonic clock: the wall clock may have been set
    /// meanwhile.
    [[nodiscard]] duration waited(time_point now) const;
};

/// Openings that arrived at a VM that has just started and does not know the
/// whole registry yet, in the order of their arrival. If they stayed in the
/// socket, the packets of open flows behind them would wait too.
/// No method has a precondition; none is thread-safe: only the packet thread
/// calls them.
class waiting_openings
{
public:
    /// Copies the datagram. False if there is no room for it.
    [[nodiscard]] bool
    add(time_point now,
        received_datagram const& datagram,
        duration waited_before);

    /// Removes and returns the oldest opening; nothing if there is none.
    [[nodiscard]] std::optional<waiting_opening> take();

    /// As `take`, if the oldest has waited for `longest_opening_wait`.
    [[nodiscard]] std::optional<waiting_opening> take_due(time_point now);

private:
    std::deque<waiting_opening> openings;
    std::size_t byte_count = 0;
};

} // namespace cairnhead
