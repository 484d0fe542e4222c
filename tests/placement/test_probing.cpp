#include "fixture.hpp"

#include <criterion/criterion.h>

#include <set>

using namespace cairnhead;
using namespace cairnhead::testing;

namespace
{

template <typename Effect>
std::vector<Effect> effects_of(effect_list const& effects)
{
    std::vector<Effect> result;
    for (auto const& one : effects)
    {
        if (auto const* const found = std::get_if<Effect>(&one))
        {
            result.push_back(*found);
        }
    }
    return result;
}

std::vector<vm_id> const peers = {vm_id(1), vm_id(2), vm_id(3), vm_id(4)};

upstream_report_listing const& listing_of(send_control const& sent)
{
    return std::get<upstream_report_listing>(sent.body);
}

} // namespace

Test(probing, two_vms_of_the_domain_probe_each_upstream)
{
    auto const declared = make_directory(make_upstreams(20));
    std::vector<std::uint32_t> probes(21);
    std::set<time_point> probe_times;
    for (auto const vm : peers)
    {
        placement subject(placement_settings{}, {vm, failure_domain_id(1)}, 1);
        subject.set_directory(start, declared);
        for (auto now = start; now <= start + 6s; now += 100ms)
        {
            effect_list effects;
            subject.tick(now, peers, {}, effects);
            for (auto const& probe : effects_of<probe_upstream>(effects))
            {
                probes[probe.upstream.value()] += 1;
                probe_times.insert(now);
            }
        }
    }
    for (std::uint32_t id = 1; id <= 20; ++id)
    {
        // Two probers in three periods; upstreams with an even id are in
        // another domain.
        cr_expect_eq(probes[id], id % 2 == 0 ? 0U : 6U, "%u", id);
    }
    cr_assert_geq(probe_times.size(), 20U);
}

Test(probing, missed_probes_are_not_repeated_after_a_pause)
{
    placement_fixture fixture(make_directory(make_upstreams(1)));
    std::vector<vm_id> const alone = {own.id};
    fixture.subject.tick(start, alone, {}, fixture.effects);
    fixture.subject.tick(start + 60s, alone, {}, fixture.effects);
    fixture.subject.tick(start + 60s + 100ms, alone, {}, fixture.effects);
    cr_assert_eq(effects_of<probe_upstream>(fixture.effects).size(), 1U);
}

Test(spreading, changed_report_goes_once_to_two_vms_with_its_age)
{
    placement_fixture fixture(make_directory(make_upstreams(4)));
    fixture.receive_report(start, 1, upstream_condition::draining, 0, 500);
    fixture.subject.tick(start + 200ms, {}, peers, fixture.effects);
    fixture.subject.tick(start + 300ms, {}, peers, fixture.effects);
    auto const sent = effects_of<send_control>(fixture.effects);
    cr_assert_eq(sent.size(), 2U);
    cr_assert_neq(sent[0].target, sent[1].target);
    for (auto const& each : sent)
    {
        cr_assert_neq(each.target, own.id);
        upstream_report const expected{
            upstream_id(1), upstream_condition::draining, 0, 700};
        cr_assert(listing_of(each).reports == std::vector{expected});
    }
}

Test(spreading, which_reports_are_forwarded)
{
    struct row
    {
        char const* name;
        duration delay;
        std::uint32_t age;
        std::uint16_t load;
        upstream_condition condition;
        bool is_change;
    };
    using enum upstream_condition;
    row const rows[] = {
        {"same again", 500ms, 0, 100, healthy, false},
        {"another load soon", 500ms, 0, 900, healthy, false},
        {"another load later", 4s, 0, 900, healthy, true},
        {"another condition soon", 500ms, 0, 100, shedding, true},
        {"older than the latest", 500ms, 800, 100, failed, false},
        {"too old", 20s, 15'000, 100, failed, false},
    };
    for (auto const& each : rows)
    {
        placement_fixture fixture(make_directory(make_upstreams(4)));
        fixture.receive_report(start, 1, healthy, 100);
        fixture.subject.tick(start, {}, peers, fixture.effects);
        fixture.effects.clear();
        auto const now = start + each.delay;
        fixture.receive_report(now, 1, each.condition, each.load, each.age);
        fixture.subject.tick(now, {}, peers, fixture.effects);
        auto const is_sent = !effects_of<send_control>(fixture.effects).empty();
        cr_expect_eq(is_sent, each.is_change, "%s", each.name);
    }
}

Test(spreading, listing_is_bounded_and_conditions_go_first)
{
    // Control traffic must stay within its limit while many upstreams flap. The
    // fault: when all upstreams of a large service change at once, a VM sends
    // every change as soon as it learns of it.
    placement_fixture fixture(make_directory(make_upstreams(60)));
    for (std::uint32_t id = 1; id <= 60; ++id)
    {
        fixture.receive_report(
            start, id,
            id == 60 ? upstream_condition::draining
                     : upstream_condition::healthy);
    }
    fixture.subject.tick(start, {}, peers, fixture.effects);
    auto const sent = effects_of<send_control>(fixture.effects);
    cr_assert_eq(listing_of(sent.front()).reports.size(), 8U);
    cr_assert_eq(listing_of(sent.front()).reports[0].upstream.value(), 60U);
}

Test(spreading, draining_upstream_gets_no_flows_until_it_reports_healthy)
{
    // An upstream that is shutting down must get no new flows. It reports
    // draining, then its health endpoint stops answering. The fault: its last
    // report expires, or a failed probe replaces it.
    placement_fixture fixture(make_directory(make_upstreams(2)));
    fixture.receive_report(start, 1, upstream_condition::draining);
    cr_assert_eq(fixture.open(start + 60s, 50)[1], 0U);
    fixture.receive_report(start + 61s, 1, upstream_condition::failed);
    cr_assert_eq(fixture.open(start + 61s, 50)[1], 0U);
    fixture.receive_report(start + 62s, 1, upstream_condition::healthy);
    cr_assert_gt(fixture.open(start + 120s, 50)[1], 0U);
}

Test(spreading, unknown_upstreams_are_ignored)
{
    placement_fixture fixture(make_directory(make_upstreams(1)));
    fixture.receive_report(start, 40, upstream_condition::failed);
    fixture.subject.flow_closed(start, upstream_id(40));
    fixture.subject.flow_closed(start, upstream_id(1));
    fixture.retransmit(start, 40, 5);
    cr_assert(fixture.effects.empty());
    cr_assert_eq(fixture.subject.views(start).front().flows, 0U);
}
