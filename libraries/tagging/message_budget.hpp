#pragma once

#include <base/time.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace cairnhead
{

/// Limits how many messages about flows this VM sends: a leaky bucket, kept as
/// the time at which it is empty (GCRA).
/// No method has a precondition; none is thread-safe: only the reducer's thread
/// calls them.
class message_budget
{
public:
    /// Whether this many messages may be sent now; they then count as sent.
    [[nodiscard]] bool take(time_point now, std::size_t messages)
    {
        time_point const empty =
            std::max(this->empty_at, now) +
            message_interval * static_cast<std::int64_t>(messages);
        if (empty > now + burst)
            return false;
        this->empty_at = empty;
        return true;
    }

private:
    /// In the long run.
    static constexpr duration message_interval = std::chrono::milliseconds(10);
    /// How far ahead of that messages may be sent: 2,000 at once.
    static constexpr duration burst = std::chrono::seconds(20);

    time_point empty_at;
};

} // namespace cairnhead
