#include <rating/ejection_bound.hpp>
#include <rating/outlier_detector.hpp>
#include <rating/request_timer.hpp>

#include <criterion/criterion.h>
#include <random>

using namespace cairnhead;
using namespace std::chrono_literals;

namespace
{

constexpr upstream_tag failing(1);
constexpr upstream_tag healthy(2);

/// A collector for two upstreams, which sees its own flows too.
struct collector
{
    outlier_detector detector;
    time_point now{1h};

    void collect(
        upstream_tag upstream,
        int count,
        request_outcome outcome,
        duration interval = 50ms)
    {
        for (int each = 0; each < count; ++each)
        {
            this->now += interval;
            this->detector.add_collected(this->now, {upstream, outcome});
        }
    }

    void see(upstream_tag upstream, int count, request_outcome outcome)
    {
        for (int each = 0; each < count; ++each)
            this->detector.add_own(this->now, {upstream, outcome});
    }

    void see_healthy_pool()
    {
        this->see(healthy, 20, request_outcome::answered);
    }

    /// Collects until the upstream is ejected; returns how long that lasts.
    duration eject()
    {
        this->see_healthy_pool();
        for (int each = 0; each < 10 && !this->detector.is_ejected(failing);
             ++each)
            this->collect(failing, 1, request_outcome::short_answer);
        auto const changes = this->detector.take_changes();
        cr_assert_eq(changes.size(), 1);
        cr_assert(changes.front().is_ejected);
        duration const length = changes.front().until - this->now;
        this->now = changes.front().until;
        return length;
    }
};

} // namespace

Test(outlier_detector, an_upstream_that_answers_errors_is_ejected)
{
    collector vm;
    vm.see_healthy_pool();
    vm.collect(healthy, 20, request_outcome::answered);
    vm.collect(failing, 4, request_outcome::short_answer);
    cr_expect_not(vm.detector.is_ejected(failing));
    vm.collect(failing, 2, request_outcome::short_answer);
    cr_expect(vm.detector.is_ejected(failing));
    cr_expect_not(vm.detector.is_ejected(healthy));
}

Test(outlier_detector, a_part_of_errors_suffices_and_a_small_part_does_not)
{
    collector vm;
    vm.see_healthy_pool();
    for (int each = 0; each < 50; ++each)
    {
        vm.collect(
            healthy, 1,
            each % 5 == 0 ? request_outcome::short_answer
                          : request_outcome::answered);
        vm.collect(
            failing, 1,
            each % 5 < 2 ? request_outcome::short_answer
                         : request_outcome::answered);
    }
    cr_expect(vm.detector.is_ejected(failing));
    cr_expect_not(vm.detector.is_ejected(healthy));
}

// Load pattern: in overload the upstreams refuse most requests, which from
// here look like errors. Ejecting any would add to the load of the others.
Test(outlier_detector, overload_ejects_no_upstream)
{
    collector vm;
    std::mt19937_64 random(20261204);
    std::bernoulli_distribution is_refused(.6);
    for (int each = 0; each < 2'000; ++each)
    {
        auto const outcome = is_refused(random) ? request_outcome::short_answer
                                                : request_outcome::answered;
        upstream_tag const upstream(1 + each % 10);
        vm.collect(upstream, 1, outcome, 10ms);
        if (each % 4 == 0)
            vm.see(upstream, 1, outcome);
    }
    cr_expect_eq(vm.detector.ejected_count(), 0);
}

// Guards against ejections by a VM that does not know what is usual.
Test(outlier_detector, nothing_is_ejected_without_own_observations)
{
    collector vm;
    vm.collect(failing, 50, request_outcome::short_answer);
    cr_expect_eq(vm.detector.ejected_count(), 0);
}

// Guards against one caller, whose requests are faulty, ejecting an upstream.
Test(outlier_detector, the_short_answers_of_one_flow_eject_nothing)
{
    collector vm;
    vm.see_healthy_pool();
    request_timer flow;
    for (int each = 0; each < 500; ++each)
    {
        vm.now += 20ms;
        vm.see(healthy, 1, request_outcome::answered);
        if (flow.take_short_answer(vm.now))
            vm.collect(failing, 1, request_outcome::short_answer, 0ms);
    }
    cr_expect_eq(vm.detector.ejected_count(), 0);
}

// Guards against an upstream that fails in a pool of few hiding behind its own
// share of the pool's answers.
Test(outlier_detector, own_answers_of_the_outlier_are_not_usual)
{
    collector vm;
    vm.see(failing, 20, request_outcome::short_answer);
    vm.see_healthy_pool();
    vm.collect(failing, 8, request_outcome::short_answer);
    cr_expect(vm.detector.is_ejected(failing));
}

Test(outlier_detector, ejections_double_up_to_a_bound_and_are_forgiven)
{
    collector vm;
    for (duration const expected : {2s, 4s, 8s, 16s, 16s})
    {
        cr_expect(vm.eject() == expected);
        vm.now += 4s;
        vm.detector.advance(vm.now);
        cr_expect_not(vm.detector.is_ejected(failing));
        (void)vm.detector.take_changes();
    }
    vm.now += 1min;
    vm.detector.advance(vm.now);
    cr_expect(vm.eject() == 2s);
}

Test(outlier_detector, trials_are_sent_one_by_one_and_restore)
{
    collector vm;
    vm.see_healthy_pool();
    vm.collect(failing, 10, request_outcome::short_answer);
    cr_expect(!vm.detector.find_trial(vm.now));
    vm.now += 2s;
    for (int trial = 0; trial < 3; ++trial)
    {
        cr_expect(vm.detector.is_ejected(failing));
        cr_expect(vm.detector.find_trial(vm.now) == failing);
        vm.detector.record_trial(vm.now, failing);
        cr_expect(!vm.detector.find_trial(vm.now));
        vm.now += 50ms;
        vm.see(failing, 1, request_outcome::answered);
    }
    cr_expect_not(vm.detector.is_ejected(failing));
    cr_expect(!vm.detector.find_trial(vm.now));
}

// Guards against an upstream that still fails getting its full share of flows.
Test(outlier_detector, a_failed_trial_ejects_for_longer)
{
    for (auto const outcome :
         {request_outcome::short_answer, request_outcome::unanswered})
    {
        collector vm;
        cr_expect(vm.eject() == 2s);
        vm.detector.record_trial(vm.now, failing);
        vm.see(failing, 1, outcome);
        auto const changes = vm.detector.take_changes();
        cr_assert_eq(changes.size(), 1);
        cr_expect(changes.front().until == vm.now + 4s);
        cr_expect(!vm.detector.find_trial(vm.now));
    }
}

// Guards against an upstream being ejected for good: without repeatable routes
// no trial takes place.
Test(outlier_detector, an_upstream_without_trials_is_restored)
{
    collector vm;
    vm.eject();
    vm.now += 4s;
    vm.detector.advance(vm.now);
    cr_expect_not(vm.detector.is_ejected(failing));
    cr_expect_not(vm.detector.take_changes().front().is_ejected);
    // Evidence of the time before does not eject it again.
    vm.collect(failing, 1, request_outcome::short_answer);
    cr_expect_not(vm.detector.is_ejected(failing));
}

Test(outlier_detector, a_restarted_upstream_starts_anew)
{
    collector vm;
    vm.eject();
    vm.detector.remove(failing);
    cr_expect_not(vm.detector.is_ejected(failing));
    cr_expect(vm.eject() == 2s);
}

// Guards against ejections that the pool's other upstreams could not bear:
// several collectors eject, and none sees the whole pool.
Test(ejection_bound, a_fifth_of_the_upstreams_is_treated_as_ejected)
{
    std::vector<upstream_rating> rated;
    for (std::uint32_t number = 1; number <= 6; ++number)
        rated.push_back(
            {.upstream = upstream_tag(number),
             .short_permille = static_cast<std::uint16_t>(100 * number),
             .is_ejected = true,
             .expires_at = {}});
    std::vector const worst{upstream_tag(5), upstream_tag(6)};
    cr_expect(bound_ejections(rated, 14) == worst);
    cr_expect(bound_ejections(rated, 4).empty());
    cr_expect_eq(bound_ejections(rated, 100).size(), 6);
}
