#include <event/stop_timeline.hpp>

#include <criterion/criterion.h>

using namespace cairnhead;
using namespace std::chrono_literals;

namespace
{

constexpr time_point told_at{1h};

stop_timeline plan(duration grace)
{
    handover_settings settings;
    settings.stop_grace = grace;
    return plan_stop(settings, told_at);
}

} // namespace

// Symptom: a process is killed with callers on it, or a fabric still sends it
// some four seconds after it was told to stop. Cause: times that do not add up
// for the grace that a platform gives.
Test(stop_timeline, adds_up_for_every_grace)
{
    for (duration grace = shortest_stop_grace; grace <= 60s; grace += 100ms)
    {
        auto const planned = plan(grace);
        auto const given_up_at = planned.ready_until + planned.notice;
        cr_expect(planned.ready_until >= told_at);
        cr_expect_eq(planned.notice, 1300ms);
        cr_expect(given_up_at <= planned.ends_at);
        cr_expect(planned.ends_at < told_at + grace);
        cr_expect(given_up_at <= told_at + 3300ms, "well within four seconds");
    }
}

Test(stop_timeline, a_grace_that_is_too_short_is_used_as_far_as_it_goes)
{
    for (duration grace = 100ms; grace < shortest_stop_grace; grace += 100ms)
    {
        auto const planned = plan(grace);
        cr_expect(planned.ready_until == told_at);
        cr_expect(planned.ends_at > told_at);
        cr_expect(planned.ends_at < told_at + grace);
    }
}

Test(stop_timeline, of_six_seconds)
{
    auto const planned = plan(6s);
    cr_expect(planned.ready_until == told_at + 2s);
    cr_expect(planned.ends_at == told_at + 5500ms);
}

Test(stop_timeline, without_a_grace_the_leave_settings_hold)
{
    handover_settings const settings;
    auto const planned = plan(0s);
    cr_expect(planned.ready_until == told_at);
    cr_expect(planned.notice == settings.leave_minimum);
    cr_expect(planned.ends_at == told_at + settings.leave_timeout);
}
