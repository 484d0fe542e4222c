#pragma once

#include <base/time.hpp>
#include <event/settings.hpp>

#include <algorithm>

namespace cairnhead
{

/// Until when a VM that was told to stop does what.
///
///     told       not ready        out of use               ends     killed
///      |--- turn ---|-- notice, late --|--- passes packets ---|- end -|
///      |<----- part of the grace ----->|                              |
///      |<------------------------- grace ---------------------------->|
///
/// A fabric that still finds a VM ready late in its grace sends callers to it
/// until it is killed. So whatever else is wrong in its failure domain, a VM
/// stops being ready so early that the fabric gives it up by then. It goes on
/// passing packets: a fabric that finds fewer than half of a domain's VMs ready
/// uses all of them.
struct stop_timeline
{
    /// At the latest then it stops being ready.
    time_point ready_until;
    /// It may end this long after it stopped being ready, and no earlier.
    duration notice = 0s;
    /// At the latest then it ends.
    time_point ends_at;
};

/// How often a fabric asks whether a VM is ready.
inline constexpr duration readiness_question_period = 500ms;

/// A fabric gives up a VM after so many answers that are missing or negative.
inline constexpr int readiness_misses = 2;

/// For a VM that wakes up late, and for an answer that is on its way.
inline constexpr duration readiness_lateness = 300ms;

/// How long a fabric takes to give up a VM that is not ready any more.
inline constexpr duration readiness_notice =
    readiness_question_period * readiness_misses + readiness_lateness;

/// What the process needs to end: it closes its sockets and writes its last
/// lines.
inline constexpr duration time_to_end = 500ms;

/// A fabric is to have given a VM up in this part of its grace: well before it
/// is killed, and long enough for a VM that was told before it to be back.
inline constexpr int in_use_percent = 55;

/// Whatever the grace, it is to have given a VM up by then.
inline constexpr duration longest_time_in_use = 3300ms;

/// The least grace with which a VM can leave without cutting off callers. With
/// less it is not ready from the first moment, and ends while the fabric still
/// sends callers.
inline constexpr duration shortest_stop_grace = readiness_notice + time_to_end;

/// The settings' grace is zero where nobody limits it. No precondition. Thread
/// safety: no shared state.
[[nodiscard]] constexpr stop_timeline
plan_stop(handover_settings const& settings, time_point told_at)
{
    duration const grace = settings.stop_grace;
    if (grace == duration::zero())
        return {
            told_at, settings.leave_minimum, told_at + settings.leave_timeout};
    duration const in_use =
        std::min<duration>(grace * in_use_percent / 100, longest_time_in_use);
    duration const ready =
        std::max<duration>(in_use - readiness_notice, duration::zero());
    duration const passing = std::max<duration>(grace - time_to_end, grace / 2);
    return {told_at + ready, readiness_notice, told_at + passing};
}

} // namespace cairnhead
