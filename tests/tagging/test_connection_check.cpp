#include <tagging/connection_check.hpp>

#include <criterion/criterion.h>

using namespace cairnhead;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};

constexpr check_observation no_answer{};
constexpr check_observation reference_only{
    connection_state::pending, connection_state::accepted};

/// Outcome of a check and how long it took.
struct check_result
{
    connection_outcome outcome = connection_outcome::inconclusive;
    duration after{};
};

/// Observes the connections as often as the check asks for, until it ends.
template <typename Observe>
check_result run_check(connection_check& check, Observe const& observe_at)
{
    for (time_point now = check.next_due();; now = check.next_due())
    {
        auto const outcome = check.evaluate(now, observe_at(now));
        if (outcome)
            return {*outcome, now - start};
    }
}

} // namespace

Test(connection_check, silence_counts_while_a_reference_answers)
{
    connection_check check(start);
    check_result const result = run_check(
        check,
        [](time_point)
        {
            return reference_only;
        });
    cr_expect(result.outcome == connection_outcome::unanswered);
    cr_expect_eq(result.after.count(), duration(100ms).count());
}

Test(connection_check, silence_of_all_is_inconclusive)
{
    // Symptom: live upstreams are considered unreachable. Sequence: the VM's
    // own link is full for longer than a check lasts. Cause: the VM took its
    // own delay for the upstreams' silence.
    connection_check check(start);
    check_result const result = run_check(
        check,
        [](time_point)
        {
            return no_answer;
        });
    cr_expect(result.outcome == connection_outcome::inconclusive);
}

Test(connection_check, a_suspect_farther_away_gets_time_after_the_reference)
{
    // Symptom: a live upstream is considered unreachable. Sequence: the link is
    // full for 300 ms; then the reference upstream's answer arrives, and the
    // suspect's a moment later. Cause: time was counted only from the start of
    // the check.
    connection_check check(start);
    check_result const result = run_check(
        check,
        [](time_point now)
        {
            if (now < start + 290ms)
                return no_answer;
            return now < start + 320ms ? reference_only
                                       : check_observation{
                                             connection_state::accepted,
                                             connection_state::accepted};
        });
    cr_expect(result.outcome == connection_outcome::connected);
}

Test(connection_check, a_paused_process_is_inconclusive)
{
    // Symptom: a VM that was suspended resets flows. Sequence: it is suspended
    // between the reference upstream's answer and the suspect's, which is lost.
    // Cause: the pause was counted as time that the suspect had to answer.
    connection_check check(start);
    cr_expect_not(check.evaluate(start + 50ms, reference_only).has_value());
    auto const after_pause = check.evaluate(start + 2s, reference_only);
    cr_assert(after_pause.has_value());
    cr_expect(*after_pause == connection_outcome::inconclusive);
}

Test(connection_check, any_answer_of_the_suspect_ends_it_at_once)
{
    for (auto const& [state, outcome] :
         {std::pair(connection_state::accepted, connection_outcome::connected),
          std::pair(connection_state::refused, connection_outcome::refused)})
    {
        connection_check check(start);
        auto const ended =
            check.evaluate(start + 2s, {state, connection_state::pending});
        cr_assert(ended.has_value());
        cr_expect(*ended == outcome);
    }
}

Test(connection_check, a_refusing_reference_counts_as_answer)
{
    connection_check check(start);
    check_result const result = run_check(
        check,
        [](time_point)
        {
            return check_observation{
                connection_state::pending, connection_state::refused};
        });
    cr_expect(result.outcome == connection_outcome::unanswered);
}
