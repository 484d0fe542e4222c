#pragma once

#include <base/identifiers.hpp>
#include <base/time.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace cairnhead
{

/// An opening that was sent to an upstream and may have to be retried.
struct pending_opening
{
    flow_id flow;
    endpoint destination;
    std::vector<std::uint8_t> bytes;
    std::uint32_t retries = 0;
    time_point due_at;
};

/// Queues openings that were sent to an upstream, in the order of their retry
/// deadlines. Whether an opening was confirmed is looked up only at its
/// deadline, as most are by then.
/// No method has a precondition unless its comment states one; none is
/// thread-safe: only the reducer's thread calls them.
class pending_openings
{
public:
    /// Adds an opening, unless the queue is full.
    /// Precondition: its deadline is no earlier than those added before.
    void add(pending_opening opening);

    /// Removes and returns the next opening whose deadline has passed, if any.
    [[nodiscard]] std::optional<pending_opening> take_due(time_point now);

    /// The next deadline; nothing if the queue is empty.
    [[nodiscard]] std::optional<time_point> next_due() const;

private:
    std::deque<pending_opening> openings;
};

} // namespace cairnhead
