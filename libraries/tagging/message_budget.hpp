#pragma once

#include <base/time.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace cairnhead
{

enum class message_urgency : std::uint8_t
{
    usual,
    /// Of messages that may only use up a part of the budget.
    low,
};

/// Limits how many messages about flows this VM sends: a leaky bucket, kept as
/// the time at which it is empty (GCRA).
/// No method has a precondition; none is thread-safe: only the reducer's thread
/// calls them.
class message_budget
{
public:
    /// Whether this many messages may be sent now; they then count as sent.
    [[nodiscard]] bool take(
        time_point now,
        std::size_t messages,
        message_urgency urgency = message_urgency::usual)
    {
        duration const burst =
            urgency == message_urgency::low ? low_urgency_burst : usual_burst;
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
    static constexpr duration usual_burst = std::chrono::seconds(20);
    static constexpr duration low_urgency_burst = std::chrono::seconds(5);

    time_point empty_at;
};

} // namespace cairnhead
