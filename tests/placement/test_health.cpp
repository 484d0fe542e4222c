#include "fixture.hpp"

#include <criterion/criterion.h>

using namespace cairnhead;
using namespace cairnhead::testing;

Test(health, what_ejects)
{
    struct row
    {
        char const* name;
        std::uint32_t before;
        bool is_confirmed_between;
        std::uint32_t after;
        bool has_probe_failed;
        bool is_ejected;
    };
    row const rows[] = {
        {"two unanswered", 2, false, 0, false, false},
        {"three unanswered", 3, false, 0, false, true},
        {"not in a row", 2, true, 2, false, false},
        {"a failed probe alone", 0, false, 0, true, false},
        {"a failed probe and one", 1, false, 0, true, false},
        {"a failed probe and two", 2, false, 0, true, true},
        {"a failed probe, answered", 2, true, 1, true, false},
    };
    for (auto const& each : rows)
    {
        bench one(make_directory(make_upstreams(4)));
        one.repeat(start, 1, each.before);
        if (each.is_confirmed_between)
        {
            one.confirm(start, 1, 1ms);
        }
        if (each.has_probe_failed)
        {
            one.tell(start, 1, upstream_condition::failed);
            one.tell(start + 1ms, 1, upstream_condition::failed);
        }
        one.repeat(start + 1ms, 1, each.after);
        cr_expect_eq(
            one.subject.is_ejected(start + 1ms, upstream_id(1)),
            each.is_ejected, "%s", each.name);
        cr_expect_eq(
            one.count_reports(report_kind::upstream_ejected),
            each.is_ejected ? 1U : 0U);
    }
}

Test(health, ejections_double_and_are_forgiven)
{
    bench one(make_directory(make_upstreams(4)));
    upstream_id const failing(1);
    one.repeat(start, 1, 3);
    cr_assert(one.subject.is_ejected(start + 9s, failing));
    cr_assert(!one.subject.is_ejected(start + 10s, failing));
    // After an ejection one failure is enough, and it lasts twice as long.
    one.repeat(start + 10s, 1, 1);
    cr_assert(one.subject.is_ejected(start + 29s, failing));
    cr_assert(!one.subject.is_ejected(start + 30s, failing));
    one.confirm(start + 31s, 1, 1ms);
    cr_assert_eq(one.count_reports(report_kind::upstream_restored), 1U);
    one.confirm(start + 51s, 1, 1ms);
    one.repeat(start + 60s, 1, 3);
    cr_assert(!one.subject.is_ejected(start + 70s, failing));
}

Test(health, a_confirmation_restores_at_once)
{
    bench one(make_directory(make_upstreams(4)));
    one.repeat(start, 1, 3);
    one.confirm(start + 1s, 1, 1ms);
    cr_assert(!one.subject.is_ejected(start + 1s, upstream_id(1)));
    cr_assert_eq(one.count_reports(report_kind::upstream_restored), 1U);
}

Test(health, a_blind_observer_empties_no_service)
{
    // Symptom: one VM refuses all openings of a healthy service.
    // Sequence: its way to all upstreams is cut for a moment.
    // Cause: it ejects every upstream for a fault that is its own.
    struct row
    {
        std::uint32_t upstreams;
        std::uint32_t ejected;
    };
    row const rows[] = {{1, 0}, {2, 1}, {3, 1}, {4, 2}, {14, 7}};
    for (auto const& each : rows)
    {
        bench one(make_directory(make_upstreams(each.upstreams)));
        for (std::uint32_t id = 1; id <= each.upstreams; ++id)
        {
            one.repeat(start, id, 10);
        }
        cr_expect_eq(
            one.count_reports(report_kind::upstream_ejected), each.ejected);
        cr_expect(std::holds_alternative<placed>(one.choose(start, 1)));
    }
}

Test(health, ejected_ones_are_asked_when_no_others_are_reachable)
{
    // Symptom: a domain that is cut off refuses callers though its own
    // upstreams may answer.
    // Sequence: its upstreams are ejected, then a partition hides the rest.
    // Cause: the bound on ejections counts upstreams out of reach.
    bench one(make_directory(make_upstreams(4)));
    one.repeat(start, 1, 3);
    one.repeat(start, 3, 3);
    one.subject.set_fleet(
        1,
        [](failure_domain_id domain)
        {
            return domain == failure_domain_id(1);
        });
    cr_assert(std::holds_alternative<placed>(one.choose(start, 1)));
}

Test(health, upstreams_of_an_unreachable_domain_are_the_last_resort)
{
    // Symptom: a service is refused although all its upstreams run.
    // Sequence: its upstreams stand in one domain, whose entry VMs all fail.
    // Cause: a domain without reachable entry VMs is taken for cut off.
    bench one(make_directory(make_upstreams(4)));
    one.subject.set_fleet(
        1,
        [](failure_domain_id)
        {
            return false;
        });
    cr_assert(std::holds_alternative<placed>(one.choose(start, 1)));
}
