#include "fixture.hpp"

#include <criterion/criterion.h>

using namespace cairnhead;
using namespace cairnhead::testing;

Test(health, consecutive_failures_eject)
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
        {"not consecutive", 2, true, 2, false, false},
        {"a failed probe alone", 0, false, 0, true, false},
        {"a failed probe and one unanswered", 1, false, 0, true, false},
        {"a failed probe and two unanswered", 2, false, 0, true, true},
        {"a failed probe and one after an answer", 2, true, 1, true, false},
    };
    for (auto const& each : rows)
    {
        placement_fixture fixture(make_directory(make_upstreams(4)));
        fixture.retransmit(start, 1, each.before);
        if (each.is_confirmed_between)
        {
            fixture.confirm(start, 1, 1ms);
        }
        if (each.has_probe_failed)
        {
            fixture.receive_report(start, 1, upstream_condition::failed);
            fixture.receive_report(start + 1ms, 1, upstream_condition::failed);
        }
        fixture.retransmit(start + 1ms, 1, each.after);
        cr_expect_eq(
            fixture.subject.is_ejected(start + 1ms, upstream_id(1)),
            each.is_ejected, "%s", each.name);
        cr_expect_eq(
            fixture.count_reports(report_kind::upstream_ejected),
            each.is_ejected ? 1U : 0U);
    }
}

Test(health, ejection_time_doubles_and_resets)
{
    placement_fixture fixture(make_directory(make_upstreams(4)));
    upstream_id const failing(1);
    fixture.retransmit(start, 1, 3);
    cr_assert(fixture.subject.is_ejected(start + 9s, failing));
    cr_assert(!fixture.subject.is_ejected(start + 10s, failing));
    // After an ejection a single failure ejects again, for twice as long.
    fixture.retransmit(start + 10s, 1, 1);
    cr_assert(fixture.subject.is_ejected(start + 29s, failing));
    cr_assert(!fixture.subject.is_ejected(start + 30s, failing));
    fixture.confirm(start + 31s, 1, 1ms);
    cr_assert_eq(fixture.count_reports(report_kind::upstream_restored), 1U);
    fixture.confirm(start + 51s, 1, 1ms);
    fixture.retransmit(start + 60s, 1, 3);
    cr_assert(!fixture.subject.is_ejected(start + 70s, failing));
}

Test(health, confirmation_ends_ejection)
{
    placement_fixture fixture(make_directory(make_upstreams(4)));
    fixture.retransmit(start, 1, 3);
    fixture.confirm(start + 1s, 1, 1ms);
    cr_assert(!fixture.subject.is_ejected(start + 1s, upstream_id(1)));
    cr_assert_eq(fixture.count_reports(report_kind::upstream_restored), 1U);
}

Test(health, isolated_vm_keeps_some_upstreams)
{
    // A VM whose path to all upstreams is cut for a moment must not refuse all
    // openings of a healthy service. The fault: it ejects every upstream
    // although the fault is its own.
    struct row
    {
        std::uint32_t upstreams;
        std::uint32_t ejected;
    };
    row const rows[] = {{1, 0}, {2, 1}, {3, 1}, {4, 2}, {14, 7}};
    for (auto const& each : rows)
    {
        placement_fixture fixture(
            make_directory(make_upstreams(each.upstreams)));
        for (std::uint32_t id = 1; id <= each.upstreams; ++id)
        {
            fixture.retransmit(start, id, 10);
        }
        cr_expect_eq(
            fixture.count_reports(report_kind::upstream_ejected), each.ejected);
        cr_expect(std::holds_alternative<placed>(fixture.choose(start, 1)));
    }
}

Test(health, ejected_upstreams_are_chosen_when_no_others_are_reachable)
{
    // A domain that is cut off must not refuse callers while its own upstreams
    // may answer. It comes about when its upstreams are ejected and a partition
    // then makes the others unreachable: the limit on ejections counts
    // unreachable upstreams too.
    placement_fixture fixture(make_directory(make_upstreams(4)));
    fixture.retransmit(start, 1, 3);
    fixture.retransmit(start, 3, 3);
    fixture.subject.set_fleet(
        1,
        [](failure_domain_id domain)
        {
            return domain == failure_domain_id(1);
        });
    cr_assert(std::holds_alternative<placed>(fixture.choose(start, 1)));
}

Test(health, upstreams_of_an_unreachable_domain_are_the_last_resort)
{
    // A service must not be refused while all its upstreams run. It comes about
    // when all its upstreams are in one domain whose entry VMs all fail: a
    // domain without reachable entry VMs is treated as cut off.
    placement_fixture fixture(make_directory(make_upstreams(4)));
    fixture.subject.set_fleet(
        1,
        [](failure_domain_id)
        {
            return false;
        });
    cr_assert(std::holds_alternative<placed>(fixture.choose(start, 1)));
}
