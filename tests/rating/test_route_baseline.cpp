#include <rating/route_baseline.hpp>

#include <criterion/criterion.h>

using namespace cairnhead;
using namespace std::chrono_literals;

namespace
{

constexpr upstream_tag rated(7);
using position = route_baseline::request_position;

/// A route that this VM sees, with requests at a fixed interval.
struct seen_route
{
    route_baseline baseline;
    time_point now{1h};
    duration interval = 20ms;

    request_observation answer(
        duration elapsed,
        std::uint32_t length = 2'000,
        answer_evidence evidence = answer_evidence::acknowledgement)
    {
        this->now += this->interval;
        return this->baseline.record_answer(
            this->now, rated, {evidence, elapsed, length});
    }

    void answers(int count, duration elapsed, std::uint32_t length = 2'000)
    {
        for (int each = 0; each < count; ++each)
            this->answer(elapsed, length);
    }
};

} // namespace

Test(route_baseline, a_fifth_of_slow_answers_does_not_change_the_usual_time)
{
    seen_route route;
    for (int each = 0; each < 500; ++each)
        route.answer(each % 5 == 0 ? 250ms : 50ms);
    cr_expect(route.baseline.usual_time() == 50ms);
    auto const seen = route.answer(250ms);
    cr_expect_eq(seen.relative_permille, 5'000);
    cr_expect_eq(seen.answer_milliseconds, 250);
}

// Guards against rating all upstreams as slow where the VM itself is.
Test(route_baseline, observations_are_relative_to_what_this_vm_sees)
{
    seen_route route;
    route.answers(100, 300ms);
    cr_expect_eq(route.answer(300ms).relative_permille, 1'000);
}

// Load pattern: all answers take four times as long for eight seconds. They
// have to count as slow until the end, though the VM sees fifty in a second.
Test(route_baseline, a_burst_does_not_become_usual)
{
    seen_route route;
    route.answers(2'000, 50ms);
    route.answers(350, 200ms);
    cr_expect_eq(route.answer(200ms).relative_permille, 4'000);
}

Test(route_baseline, no_answer_is_short_before_twenty_are_known)
{
    seen_route route;
    route.answers(19, 50ms);
    cr_expect(route.answer(1ms, 100).outcome == request_outcome::answered);
    route.answers(20, 50ms);
    cr_expect(route.answer(1ms, 100).outcome == request_outcome::short_answer);
    cr_expect(route.answer(50ms, 1'300).outcome == request_outcome::answered);
}

// Guards against refusals becoming usual in a long overload, and against a
// route whose answers got shorter for good being rated by the old ones forever.
Test(route_baseline, short_answers_become_usual_only_slowly)
{
    seen_route route;
    route.answers(500, 50ms);
    for (int each = 0; each < 2'000; ++each)
        route.answer(50ms, each % 2 == 0 ? 100 : 2'000);
    cr_expect(route.answer(1ms, 100).outcome == request_outcome::short_answer);
    route.answers(4'000, 50ms, 100);
    cr_expect(route.answer(50ms, 100).outcome == request_outcome::answered);
    cr_expect(route.baseline.usual_time() == 50ms);
}

// Guards against taking the idle time of a long flow for its answer time.
Test(route_baseline, a_fin_gives_no_time_where_flows_bring_many_requests)
{
    seen_route route;
    route.baseline.record_request(route.now, position::first_of_flow);
    auto const seen =
        route.answer(20ms, 2'000, answer_evidence::only_request_closed);
    cr_expect_eq(seen.answer_milliseconds, 20);
    for (int each = 0; each < 9; ++each)
        route.baseline.record_request(route.now, position::later);
    cr_expect_float_eq(route.baseline.requests_per_flow(route.now), 10, .01);
    auto const later =
        route.answer(20ms, 2'000, answer_evidence::only_request_closed);
    cr_expect_eq(later.answer_milliseconds, 0);
    cr_expect_eq(later.relative_permille, 0);
}

// Symptom: every upstream of a route counts as not answering.
// Cause: answers of one packet are acknowledged with the next request only, so
// silence tells nothing, though the few larger answers tell the usual time.
Test(route_baseline, silence_tells_nothing_where_answers_carry_no_time)
{
    seen_route route;
    route.answers(100, 50ms);
    cr_expect(route.baseline.unanswered_after() == 200ms);
    auto const waited = route.baseline.observe_unanswered(rated, 200ms);
    cr_expect(waited.outcome == request_outcome::unanswered);
    cr_expect_eq(waited.relative_permille, 4'000);
    for (int each = 0; each < 50; ++each)
        route.answer(3s, 1'300, answer_evidence::later_packet);
    cr_expect(!route.baseline.unanswered_after());
    cr_expect(route.baseline.usual_time() == 50ms);
}
