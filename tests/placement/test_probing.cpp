#include "fixture.hpp"

#include <criterion/criterion.h>

#include <set>

using namespace cairnhead;
using namespace cairnhead::testing;

namespace
{

template <typename Effect>
std::vector<Effect> take(effect_list const& effects)
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

Test(probing, few_of_the_domain_probe_each_upstream)
{
    auto const declared = make_directory(make_upstreams(20));
    std::vector<std::uint32_t> probes(21);
    std::set<time_point> moments;
    for (auto const vm : peers)
    {
        placement one(placement_settings{}, {vm, failure_domain_id(1)}, 1);
        one.set_directory(start, declared);
        for (auto now = start; now <= start + 6s; now += 100ms)
        {
            effect_list effects;
            one.tick(now, peers, {}, effects);
            for (auto const& probe : take<probe_upstream>(effects))
            {
                probes[probe.upstream.value()] += 1;
                moments.insert(now);
            }
        }
    }
    for (std::uint32_t id = 1; id <= 20; ++id)
    {
        // Two probers, three periods; the even ones are of another domain.
        cr_expect_eq(probes[id], id % 2 == 0 ? 0U : 6U, "%u", id);
    }
    cr_assert_geq(moments.size(), 20U);
}

Test(probing, a_pause_is_not_made_up_for)
{
    bench one(make_directory(make_upstreams(1)));
    std::vector<vm_id> const alone = {own.id};
    one.subject.tick(start, alone, {}, one.effects);
    one.subject.tick(start + 60s, alone, {}, one.effects);
    one.subject.tick(start + 60s + 100ms, alone, {}, one.effects);
    cr_assert_eq(take<probe_upstream>(one.effects).size(), 1U);
}

Test(spreading, news_goes_to_two_others_once_and_gets_older)
{
    bench one(make_directory(make_upstreams(4)));
    one.tell(start, 1, upstream_condition::draining, 0, 500);
    one.subject.tick(start + 200ms, {}, peers, one.effects);
    one.subject.tick(start + 300ms, {}, peers, one.effects);
    auto const sent = take<send_control>(one.effects);
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

Test(spreading, what_is_news)
{
    struct row
    {
        char const* name;
        duration later;
        std::uint32_t age;
        std::uint16_t load;
        upstream_condition condition;
        bool is_news;
    };
    using enum upstream_condition;
    row const rows[] = {
        {"same again", 500ms, 0, 100, healthy, false},
        {"another load soon", 500ms, 0, 900, healthy, false},
        {"another load later", 4s, 0, 900, healthy, true},
        {"another condition soon", 500ms, 0, 100, shedding, true},
        {"older than known", 500ms, 800, 100, failed, false},
        {"too old", 20s, 15'000, 100, failed, false},
    };
    for (auto const& each : rows)
    {
        bench one(make_directory(make_upstreams(4)));
        one.tell(start, 1, healthy, 100);
        one.subject.tick(start, {}, peers, one.effects);
        one.effects.clear();
        auto const now = start + each.later;
        one.tell(now, 1, each.condition, each.load, each.age);
        one.subject.tick(now, {}, peers, one.effects);
        auto const is_sent = !take<send_control>(one.effects).empty();
        cr_expect_eq(is_sent, each.is_news, "%s", each.name);
    }
}

Test(spreading, bytes_are_bounded_and_conditions_go_first)
{
    // Symptom: control traffic beyond its budget while many upstreams flap.
    // Sequence: all of a large service change at once.
    // Cause: every change is sent at the moment it is known.
    bench one(make_directory(make_upstreams(60)));
    for (std::uint32_t id = 1; id <= 60; ++id)
    {
        one.tell(
            start, id,
            id == 60 ? upstream_condition::draining
                     : upstream_condition::healthy);
    }
    one.subject.tick(start, {}, peers, one.effects);
    auto const sent = take<send_control>(one.effects);
    cr_assert_eq(listing_of(sent.front()).reports.size(), 8U);
    cr_assert_eq(listing_of(sent.front()).reports[0].upstream.value(), 60U);
}

Test(spreading, a_leaving_upstream_stays_out_until_it_says_otherwise)
{
    // Symptom: an upstream that is shutting down gets new flows.
    // Sequence: it reports draining, then its endpoint is gone.
    // Cause: the last report runs out, or a failed probe replaces it.
    bench one(make_directory(make_upstreams(2)));
    one.tell(start, 1, upstream_condition::draining);
    cr_assert_eq(one.open(start + 60s, 50)[1], 0U);
    one.tell(start + 61s, 1, upstream_condition::failed);
    cr_assert_eq(one.open(start + 61s, 50)[1], 0U);
    one.tell(start + 62s, 1, upstream_condition::healthy);
    cr_assert_gt(one.open(start + 120s, 50)[1], 0U);
}

Test(spreading, unknown_upstreams_are_ignored)
{
    bench one(make_directory(make_upstreams(1)));
    one.tell(start, 40, upstream_condition::failed);
    one.subject.flow_closed(start, upstream_id(40));
    one.subject.flow_closed(start, upstream_id(1));
    one.repeat(start, 40, 5);
    cr_assert(one.effects.empty());
    cr_assert_eq(one.subject.views(start).front().flows, 0U);
}
