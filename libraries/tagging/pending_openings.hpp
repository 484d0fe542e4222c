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

/// An opening that was sent and may have to be sent again.
struct pending_opening
{
    flow_id flow;
    endpoint destination;
    std::vector<std::uint8_t> bytes;
    std::uint32_t retries = 0;
    time_point due_at;
};

/// Openings in the order in which they fall due. Whether one was confirmed in
/// the meantime is looked up when it falls due: most are.
/// Thread safety of all methods: none; one thread, the reducer's.
class pending_openings
{
public:
    /// Adds an opening. Precondition: it falls due no earlier than those added
    /// before. When there are too many, it is not added.
    void add(pending_opening opening);

    /// The next one that is due, taken out. No precondition.
    [[nodiscard]] std::optional<pending_opening> take_due(time_point now);

    /// When the next one falls due. No precondition.
    [[nodiscard]] std::optional<time_point> next_due() const;

private:
    std::deque<pending_opening> waiting;
};

} // namespace cairnhead
