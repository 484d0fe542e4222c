#pragma once

#include <base/time.hpp>

namespace cairnhead
{

/// When this VM stood still for long, and which openings waited meanwhile.
/// Thread safety of all methods: none; one thread, the reducer's.
///
/// A fabric takes a VM that stands still out of use, and a caller's copy of an
/// opening reaches another VM, which places it. If this VM then places what
/// waited in its socket, a second upstream answers, and the tag of the flow's
/// packets leads to an upstream that does not hold it. One would notice flows
/// that are reset, or hang, once the fabric sends them here again. So what may
/// have been placed elsewhere is not placed here.
class pause_watch
{
public:
    /// An event is about to be handled; ticks come many times within the
    /// shortest pause that counts. No precondition.
    void note(time_point now)
    {
        bool const was_pause = this->last_event_at != time_point() &&
                               now >= this->last_event_at + shortest_pause;
        if (was_pause)
            this->ended_at = now;
        this->last_event_at = now;
    }

    /// What came before was not looked at, as after a pause. No precondition.
    void note_standstill(time_point now)
    {
        this->ended_at = now;
        this->last_event_at = now;
    }

    /// Whether a copy of an opening that waited so long may have reached
    /// another VM. No precondition.
    [[nodiscard]] bool may_be_elsewhere(time_point now, duration waited) const
    {
        return waited >= first_copy && this->was_before_pause(now - waited);
    }

    /// Whether the moment lies before the end of a pause. No precondition.
    [[nodiscard]] bool was_before_pause(time_point moment) const
    {
        return this->ended_at != time_point() && moment < this->ended_at;
    }

private:
    /// A fabric asks VMs twice a second, and gives up one that missed two
    /// answers; so a shorter pause costs a VM no flows.
    static constexpr duration shortest_pause = std::chrono::milliseconds(500);

    /// Callers repeat an opening after so long.
    static constexpr duration first_copy = std::chrono::milliseconds(200);

    time_point last_event_at;
    time_point ended_at;
};

} // namespace cairnhead
