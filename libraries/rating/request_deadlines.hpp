#pragma once

#include <base/identifiers.hpp>
#include <base/time.hpp>

#include <cstddef>
#include <optional>
#include <queue>
#include <vector>

namespace cairnhead
{

/// A request that counts as unanswered if it still waits when it is due.
struct request_deadline
{
    time_point due_at;
    flow_id flow;
    /// Tells the flow's requests apart.
    time_point begun_at;

    // clang-tidy 14 takes the generated comparison with zero for a pointer's.
    // NOLINTBEGIN(modernize-use-nullptr)
    friend auto
    operator<=>(request_deadline const&, request_deadline const&) = default;
    // NOLINTEND(modernize-use-nullptr)
};

/// Queue of requests by their deadlines. Whether a request was answered is
/// looked up only when it is due, as most are by then. No method has a
/// precondition; none is thread-safe: only the reducer's thread calls them.
class request_deadlines
{
public:
    /// Adds a request, unless the queue is full.
    void add(request_deadline const& added);

    /// Removes and returns the next request whose deadline has passed, if any.
    [[nodiscard]] std::optional<request_deadline> take_due(time_point now);

    [[nodiscard]] std::size_t size() const;

private:
    std::priority_queue<
        request_deadline,
        std::vector<request_deadline>,
        std::greater<>>
        requests;
};

} // namespace cairnhead
