#pragma once

#include <base/time.hpp>

namespace cairnhead
{

/// Detects long pauses of this VM's process, and which openings were queued
/// during one.
///
/// A fabric takes a paused VM out of use, and a caller's retransmission of an
/// opening reaches another VM, which places it. If this VM then placed the
/// opening that was queued in its socket, a second upstream would answer, and
/// the tag of the flow's packets would lead to an upstream that does not hold
/// the flow. Symptom: flows are reset, or hang, once the fabric sends them to
/// this VM again. So an opening that another VM may have placed is not placed
/// here.
/// No method has a precondition; none is thread-safe: only the reducer's thread
/// calls them.
class pause_detector
{
public:
    /// Records that an event is about to be handled. Ticks arrive many times
    /// within `shortest_pause`, so a longer gap between events is a pause.
    void record_event(time_point now)
    {
        bool const was_pause = this->last_event_at != time_point() &&
                               now >= this->last_event_at + shortest_pause;
        if (was_pause)
            this->ended_at = now;
        this->last_event_at = now;
    }

    /// Records that packets were not handled until now, as after a pause.
    void record_pause_end(time_point now)
    {
        this->ended_at = now;
        this->last_event_at = now;
    }

    /// Whether another VM may have placed an opening that was queued here for
    /// `waited`, because the caller's retransmission may have reached it.
    [[nodiscard]] bool
    may_be_placed_elsewhere(time_point now, duration waited) const
    {
        return waited >= first_retransmission &&
               this->is_before_pause_end(now - waited);
    }

    /// Whether the time lies before the end of the latest pause.
    [[nodiscard]] bool is_before_pause_end(time_point time) const
    {
        return this->ended_at != time_point() && time < this->ended_at;
    }

private:
    /// A fabric probes VMs twice a second, and stops using a VM that missed two
    /// probes; so a shorter pause costs a VM no flows.
    static constexpr duration shortest_pause = std::chrono::milliseconds(500);

    /// When callers first retransmit an opening.
    static constexpr duration first_retransmission =
        std::chrono::milliseconds(200);

    time_point last_event_at;
    time_point ended_at;
};

} // namespace cairnhead
