#include "fixture.hpp"

#include <criterion/criterion.h>

#include <algorithm>

using namespace cairnhead;
using namespace cairnhead::testing;

namespace
{

refusal_reason reason_of(placement_result const& result)
{
    cr_assert(std::holds_alternative<not_placed>(result));
    return std::get<not_placed>(result).reason;
}

} // namespace

Test(choose, balance_gives_similar_flow_counts)
{
    struct row
    {
        double tolerance;
        std::uint32_t minimum;
        std::uint32_t maximum;
    };
    row const rows[] = {
        {0.0, 95, 105}, {placement_policy{}.balance_tolerance, 92, 108}};
    for (auto const& each : rows)
    {
        placement_policy policy;
        policy.balance_tolerance = each.tolerance;
        placement_fixture fixture(make_directory(make_upstreams(14)), policy);
        auto const counts = fixture.open(start, 1400);
        auto const [low, high] =
            std::minmax_element(counts.begin() + 1, counts.begin() + 15);
        cr_expect_geq(*low, each.minimum);
        cr_expect_leq(*high, each.maximum);
    }
}

Test(choose, continuity_prefers_the_predicted_upstream)
{
    placement_fixture fixture(
        make_directory(make_upstreams(14), placement_preference::continuity));
    std::uint32_t predicted = 0;
    for (std::uint64_t flow = 0; flow < 2000; ++flow)
    {
        auto const result = std::get<placed>(fixture.choose(start, flow));
        fixture.subject.flow_opened(start, result.upstream);
        auto const expected = fixture.subject.predict(
            fixture.only_service(), placement_fixture::make_flow(flow));
        cr_assert_eq(result.is_predicted, expected == result.upstream);
        predicted += result.is_predicted ? 1 : 0;
    }
    cr_assert_geq(predicted, 1900U);
}

Test(choose, unusable_upstreams_get_no_flows)
{
    struct row
    {
        char const* name;
        void (*make_unusable)(placement_fixture&, std::vector<upstream>&);
    };
    row const rows[] = {
        {"declared draining",
         [](placement_fixture& fixture, std::vector<upstream>& declared)
         {
             declared[0].is_draining = true;
             fixture.declare(start, make_directory(declared));
         }},
        {"reported draining",
         [](placement_fixture& fixture, std::vector<upstream>&)
         {
             fixture.receive_report(start, 1, upstream_condition::draining);
         }},
        {"draining, then probe failed",
         [](placement_fixture& fixture, std::vector<upstream>&)
         {
             fixture.receive_report(
                 start - 1s, 1, upstream_condition::draining);
             fixture.receive_report(start, 1, upstream_condition::failed);
         }},
        {"ejected",
         [](placement_fixture& fixture, std::vector<upstream>&)
         {
             fixture.retransmit(start, 1, 3);
         }},
        {"domain unreachable",
         [](placement_fixture& fixture, std::vector<upstream>&)
         {
             fixture.subject.set_fleet(
                 2,
                 [](failure_domain_id domain)
                 {
                     return domain != failure_domain_id(1);
                 });
         }},
    };
    for (auto const& each : rows)
    {
        auto declared = make_upstreams(4);
        placement_fixture fixture(make_directory(declared));
        each.make_unusable(fixture, declared);
        auto const counts = fixture.open(start, 400);
        cr_expect_eq(counts[1], 0U, "%s", each.name);
        cr_expect_geq(counts[2], 90U, "%s", each.name);
    }
}

Test(choose, refusals_state_reason_and_retry_time)
{
    auto declared = make_upstreams(2);
    declared[0].connections = 10;
    declared[1].connections = 10;
    placement_fixture fixture(make_directory(declared));
    auto const counts = fixture.open(start, 30);
    cr_assert_eq(counts[1] + counts[2], 20U);
    auto const full = fixture.choose(start, 77);
    cr_assert_eq(reason_of(full), refusal_reason::upstreams_full);
    cr_assert_gt(std::get<not_placed>(full).retry_at, start);

    fixture.receive_report(start, 1, upstream_condition::draining);
    fixture.receive_report(start, 2, upstream_condition::draining);
    auto const unhealthy = fixture.choose(start, 77);
    cr_assert_eq(reason_of(unhealthy), refusal_reason::no_healthy_upstream);
    cr_assert_gt(std::get<not_placed>(unhealthy).retry_at, start);
}

Test(choose, owners_divide_the_connection_limit)
{
    auto declared = make_upstreams(2);
    declared[0].connections = 160;
    declared[1].connections = 160;
    placement_fixture fixture(make_directory(declared));
    fixture.subject.set_fleet(
        8,
        [](failure_domain_id)
        {
            return true;
        });
    auto const counts = fixture.open(start, 100);
    cr_assert_eq(counts[1], 21U);
    cr_assert_eq(counts[2], 21U);
}

Test(choose, new_upstream_begins_slow_start)
{
    // An upstream that joins while the others hold many flows must not fail
    // under all openings at once: with no flows of its own it always looks the
    // least loaded.
    auto declared = make_upstreams(4);
    placement_fixture fixture(make_directory(declared));
    fixture.open(start, 400);
    declared.push_back(make_upstream(5));
    fixture.declare(start + 1s, make_directory(declared));
    cr_assert_leq(fixture.open(start + 2s, 100)[5], 15U);
    cr_assert_geq(fixture.open(start + 40s, 200)[5], 80U);
}

Test(choose, reports_have_bounded_influence)
{
    struct row
    {
        char const* name;
        upstream_condition condition;
        std::uint16_t load;
        duration latency;
        std::uint32_t minimum;
        std::uint32_t maximum;
    };
    // Without reports, each of the four upstreams would get 100 openings.
    row const rows[] = {
        {"reports full load, high latency", upstream_condition::healthy, 1000,
         3ms, 75, 92},
        {"reports full load, low latency", upstream_condition::healthy, 1000,
         1ms, 95, 105},
        {"reports no load", upstream_condition::healthy, 0, 1ms, 95, 105},
        {"shedding", upstream_condition::shedding, 0, 1ms, 45, 70},
        {"probe failed", upstream_condition::failed, 0, 1ms, 20, 45},
        {"very high latency", upstream_condition::healthy, 500, 50ms, 70, 86},
    };
    for (auto const& each : rows)
    {
        placement_fixture fixture(make_directory(make_upstreams(4)));
        for (std::uint32_t id = 1; id <= 4; ++id)
        {
            fixture.confirm(start, id, id == 1 ? each.latency : 2ms);
            fixture.receive_report(
                start, id, upstream_condition::healthy, 500, 100);
        }
        fixture.receive_report(start, 1, each.condition, each.load);
        auto const opened = fixture.open(start + 200ms, 400)[1];
        cr_expect(
            opened >= each.minimum && opened <= each.maximum, "%s: %u",
            each.name, opened);
    }
}

Test(choose, flow_count_survives_removal_of_upstream)
{
    // An upstream that is removed and declared again (its label is removed and
    // set again) while its flows continue must not be overloaded. The fault:
    // its flow count was discarded together with its declaration.
    auto const all = make_upstreams(3);
    placement_fixture fixture(make_directory(all));
    fixture.open(start, 300);
    fixture.declare(start, make_directory({all[0], all[1]}));
    fixture.subject.flow_closed(start, upstream_id(3));
    fixture.declare(start + 1s, make_directory(all));
    auto const views = fixture.subject.views(start + 1s);
    cr_assert_eq(views.size(), 3U);
    cr_assert_geq(views[2].flows, 95U);
    cr_assert(!views[1].is_cold);
}
