#include <tagging/upstream_reach.hpp>

#include <criterion/criterion.h>
#include <optional>
#include <random>

using namespace cairnhead;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};
tagging_settings const settings;

/// Returns the state of a silent upstream with a running check.
upstream_reach make_checking()
{
    upstream_reach reach;
    reach.record_answered(start - 1s);
    reach.record_silence(start);
    reach.start_check(start, settings);
    return reach;
}

reach_change end_check(
    upstream_reach& reach, connection_outcome outcome, duration after = 100ms)
{
    return reach.end_check(start + after, outcome, settings);
}

} // namespace

Test(upstream_reach, an_unanswered_check_permits_ending_flows)
{
    upstream_reach reach = make_checking();
    cr_expect(
        end_check(reach, connection_outcome::unanswered) ==
        reach_change::found_unreachable);
    cr_expect(reach.is_unreachable(start + 200ms));
    cr_expect(reach.is_silent());
}

Test(upstream_reach, an_answer_invalidates_a_running_check)
{
    upstream_reach reach = make_checking();
    reach.record_answered(start + 50ms);
    cr_expect(
        end_check(reach, connection_outcome::unanswered) == reach_change::none);
    cr_expect_not(reach.is_unreachable(start + 200ms));
}

Test(upstream_reach, a_check_stays_invalid_when_silence_returns)
{
    // Symptom: a live upstream's flows are ended. Sequence: it answers while a
    // check runs, and a caller retransmits before the check ends. Cause: the
    // check was counted for the new silence, although it began before that.
    upstream_reach reach = make_checking();
    reach.record_answered(start + 50ms);
    reach.record_silence(start + 60ms);
    cr_expect(
        end_check(reach, connection_outcome::unanswered) == reach_change::none);
}

Test(upstream_reach, only_one_check_runs)
{
    upstream_reach reach = make_checking();
    cr_expect_not(reach.is_check_due(start + 1min, settings));
    end_check(reach, connection_outcome::unanswered);
    cr_expect(reach.is_check_due(start + 1min, settings));
}

Test(upstream_reach, an_inconclusive_check_is_retried_soon)
{
    upstream_reach reach = make_checking();
    cr_expect(
        end_check(reach, connection_outcome::inconclusive) ==
        reach_change::none);
    cr_expect(reach.is_silent());
    cr_expect_not(reach.is_check_due(start + 200ms, settings));
    cr_expect(
        reach.is_check_due(start + 100ms + settings.check_after, settings));
}

Test(upstream_reach, unreachability_expires)
{
    upstream_reach reach = make_checking();
    end_check(reach, connection_outcome::unanswered);
    cr_expect_not(reach.is_unreachable(start + 100ms + 3 * 1s));
}

Test(upstream_reach, an_earlier_answer_does_not_end_the_silence)
{
    upstream_reach reach = make_checking();
    reach.record_answered(start - 10ms);
    cr_expect(reach.is_silent());
}

Test(
    upstream_reach,
    an_upstream_that_answered_after_the_start_is_not_unreachable)
{
    // In every order of events, only a check that began after the last answer
    // gives `found_unreachable`.
    std::mt19937_64 random(20261202);
    for (int sequence = 0; sequence < 2'000; ++sequence)
    {
        upstream_reach reach;
        time_point now = start;
        time_point last_answer{};
        std::optional<time_point> started_at;
        for (int step = 0; step < 40; ++step)
        {
            now += std::chrono::milliseconds(1 + random() % 400);
            switch (random() % 5)
            {
            case 0:
                reach.record_answered(now);
                last_answer = now;
                break;
            case 1:
                reach.record_silence(now);
                break;
            case 2:
                reach.check_now(now);
                break;
            case 3:
                if (started_at || !reach.is_check_due(now, settings))
                    break;
                reach.start_check(now, settings);
                started_at = now;
                break;
            default:
                if (!started_at)
                    break;
                auto const outcome =
                    static_cast<connection_outcome>(random() % 4);
                auto const change = reach.end_check(now, outcome, settings);
                bool const is_found_unreachable =
                    change == reach_change::found_unreachable;
                cr_assert(
                    !is_found_unreachable || *started_at > last_answer,
                    "sequence %d, step %d", sequence, step);
                started_at.reset();
            }
        }
    }
}
