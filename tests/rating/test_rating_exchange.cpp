#include "exchange_fleet.hpp"

#include <criterion/criterion.h>

using namespace cairnhead;
using namespace cairnhead::rating_test;

namespace
{

constexpr std::size_t slow = 3;
constexpr std::uint16_t five_times = 5000;

/// Share of moments at which a VM holds the rating of the slow upstream.
double held_share(exchange_fleet& fleet, std::vector<std::size_t> const& among)
{
    constexpr int moments = 40;
    std::size_t held = 0;
    for (int moment = 0; moment < moments; ++moment)
    {
        fleet.run_for(100ms);
        held += fleet.count_rated(among, slow);
    }
    return static_cast<double>(held) /
           static_cast<double>(moments * among.size());
}

struct traffic_sums
{
    std::size_t sent = 0;
    std::size_t most_sent = 0;
    std::size_t most_received = 0;
    std::size_t most_observation_messages = 0;
};

traffic_sums sum_traffic(exchange_fleet const& fleet)
{
    traffic_sums sums;
    for (auto const& vm : fleet.vms)
    {
        sums.sent += vm->bytes_sent;
        sums.most_sent = std::max(sums.most_sent, vm->bytes_sent);
        sums.most_received = std::max(sums.most_received, vm->bytes_received);
        sums.most_observation_messages =
            std::max(sums.most_observation_messages, vm->observation_messages);
    }
    return sums;
}

} // namespace

Test(rating_exchange, all_vms_learn_of_a_slow_upstream_and_of_its_recovery)
{
    // Guards against a slow upstream that no VM notices, as each sees one
    // request of it in four seconds, and against avoiding it for longer than it
    // is slow.
    exchange_fleet fleet({});
    fleet.run_for(2s);
    cr_expect_eq(fleet.count_rated(slow), 0);
    fleet.upstreams[slow].relative_permille = five_times;
    fleet.run_for(2500ms);
    cr_expect_eq(fleet.count_rated(slow), fleet.size.vms);
    cr_expect_eq(fleet.count_rated(slow + 1), 0);
    fleet.upstreams[slow].relative_permille = 1000;
    fleet.run_for(2500ms);
    cr_expect_eq(fleet.count_rated(slow), 0);
}

Test(rating_exchange, an_upstream_that_answers_errors_is_ejected_everywhere)
{
    // Guards against an upstream that attracts flows by failing quickly.
    exchange_fleet fleet({});
    fleet.run_for(2s);
    fleet.upstreams[slow].short_permille = 900;
    fleet.run_for(1500ms);
    for (std::size_t vm = 0; vm < fleet.size.vms; ++vm)
    {
        auto const held = fleet.rating_at(vm, slow);
        cr_expect(held && held->is_ejected, "VM %zu", vm);
    }
    std::size_t ejections = 0;
    for (std::size_t vm = 0; vm < fleet.size.vms; ++vm)
        ejections += fleet.exchange_of(vm).counts().ejections;
    cr_expect_eq(ejections, 1);
}

Test(rating_exchange, overload_of_a_pool_ejects_none)
{
    // Guards against ejecting upstreams that refuse because all are full.
    exchange_fleet fleet({});
    for (emulated_upstream& each : fleet.upstreams)
        each.short_permille = 600;
    fleet.run_for(4s);
    for (std::size_t vm = 0; vm < fleet.size.vms; ++vm)
        cr_expect_eq(fleet.exchange_of(vm).counts().ejections, 0);
}

Test(rating_exchange, another_vm_collects_when_the_collector_dies)
{
    // Guards against upstreams that are never rated again, and against ratings
    // of a dead collector that stay in force.
    exchange_fleet fleet({});
    auto const all = fleet.range(0, fleet.size.vms);
    fleet.upstreams[slow].relative_permille = five_times;
    fleet.run_for(3s);
    std::size_t const dead = fleet.collector_of(slow, all);
    fleet.dead.insert(dead);
    auto others = all;
    std::erase(others, dead);
    fleet.run_for(3100ms);
    cr_expect_eq(fleet.count_rated(others, slow), 0);
    fleet.set_members(others, others);
    fleet.run_for(2500ms);
    cr_expect_eq(fleet.count_rated(others, slow), others.size());
}

Test(rating_exchange, two_views_of_the_members_rate_alike)
{
    // Guards against a rating that is missing while a VM joins, as half of the
    // VMs send their observations to a collector that the others do not know.
    exchange_fleet fleet({});
    auto const all = fleet.range(0, fleet.size.vms);
    auto seen_by_some = all;
    std::erase(seen_by_some, fleet.collector_of(slow, all));
    fleet.set_members(fleet.range(0, fleet.size.vms / 2), seen_by_some);
    fleet.upstreams[slow].relative_permille = five_times;
    fleet.run_for(3s);
    cr_expect_gt(held_share(fleet, seen_by_some), .95);
}

Test(rating_exchange, ratings_survive_lost_datagrams)
{
    // Guards against ratings that depend on each datagram.
    exchange_fleet fleet({});
    fleet.lost_permille = 100;
    fleet.upstreams[slow].relative_permille = five_times;
    fleet.run_for(3s);
    double const held = held_share(fleet, fleet.range(0, fleet.size.vms));
    cr_log_info("held with 10 %% lost: %.3f", held);
    cr_expect_gt(held, .9);
}

Test(rating_exchange, a_collector_discards_what_it_held_through_a_freeze)
{
    // Guards against ratings by observations from before a freeze, or from the
    // socket's queue after it.
    exchange_fleet fleet({});
    fleet.upstreams[slow].relative_permille = five_times;
    fleet.run_for(3s);
    std::size_t const collector =
        fleet.collector_of(slow, fleet.range(0, fleet.size.vms));
    fleet.frozen.insert(collector);
    fleet.run_for(4s);
    cr_expect_gt(fleet.vms[collector]->queued.size(), 0);
    cr_expect_eq(fleet.count_rated(slow), 0);
    fleet.upstreams[slow].gets_requests = false;
    fleet.thaw(collector);
    for (int moment = 0; moment < 20; ++moment)
    {
        fleet.run_for(100ms);
        cr_expect_eq(fleet.count_rated(slow), 0);
    }
}

Test(rating_exchange, both_halves_of_a_cut_rate_for_themselves)
{
    // Guards against a half without ratings, as its upstream's collector is in
    // the other half.
    exchange_fleet fleet({});
    fleet.cut_at = fleet.size.vms / 2;
    auto const first = fleet.range(0, fleet.cut_at);
    auto const second = fleet.range(fleet.cut_at, fleet.size.vms);
    fleet.set_members(first, first);
    fleet.set_members(second, second);
    fleet.upstreams[slow].relative_permille = five_times;
    fleet.run_for(4s);
    cr_expect_gt(held_share(fleet, first), .9);
    cr_expect_gt(held_share(fleet, second), .9);
}

Test(rating_exchange, upstreams_of_another_domain_are_rated_alone)
{
    // Guards against messages about upstreams that no collector of this domain
    // may rate for others.
    exchange_fleet fleet({.vms = 2, .upstreams = 1, .requests = 10});
    fleet.upstreams[0].domain = other_domain;
    fleet.upstreams[0].relative_permille = five_times;
    fleet.run_for(2s);
    cr_expect_eq(fleet.count_rated(0), 2);
    cr_expect_eq(fleet.vms[0]->bytes_sent + fleet.vms[1]->bytes_sent, 0);
    // Nor does it accept observations of one.
    effect_list effects;
    auto& exchange = fleet.exchange_of(0);
    auto const told = [&](upstream_tag tag)
    {
        auto found = fleet.find(tag);
        found->domain = other_domain;
        return found;
    };
    upstream_observation_listing listing;
    listing.observations.assign(
        20,
        {exchange_fleet::tag_number(0), request_outcome::answered, 9000, 450});
    exchange.receive(fleet.time.now(), listing, told);
    fleet.run_for(300ms);
    auto const held = fleet.rating_at(0, 0);
    cr_assert(held);
    cr_expect_lt(held->relative_permille, 6000);
}

Test(rating_exchange, a_restarted_upstream_is_rated_anew)
{
    // Guards against blaming a new start for what the earlier one did.
    exchange_fleet fleet({});
    fleet.upstreams[slow].relative_permille = five_times;
    fleet.run_for(3s);
    fleet.upstreams[slow].life = incarnation(2);
    fleet.upstreams[slow].gets_requests = false;
    fleet.run_for(3100ms);
    cr_expect_eq(fleet.count_rated(slow), 0);
}

Test(rating_exchange, a_listing_is_forwarded_once)
{
    // Guards against listings that circulate for ever where VMs see different
    // members and their trees contain a cycle.
    exchange_fleet fleet({.vms = 20, .upstreams = 1, .requests = 0});
    upstream_rating_listing const listing{
        exchange_fleet::id_of(0),
        9,
        {{.upstream = exchange_fleet::tag_number(0),
          .relative_permille = five_times,
          .lifetime_milliseconds = 60'000}}};
    auto& exchange = fleet.exchange_of(1);
    time_point const now = fleet.time.now();
    effect_list effects;
    auto const first = exchange.receive(now, listing, effects);
    cr_assert_eq(first.size(), 1);
    cr_expect(first[0].expires_at == now + rating_lifetime);
    cr_expect_eq(effects.size(), 4);
    cr_expect(exchange.receive(now + 1ms, listing, effects).empty());
    cr_expect_eq(effects.size(), 4);
}

Test(rating_exchange, traffic_stays_within_the_budget_at_the_target)
{
    // Guards against control traffic that grows with the fleet, and against
    // ratings that are wrong as most observations do not fit into the budget.
    // Load: 2,200 VMs in 7 domains with 12,000 upstreams and 180,000 requests a
    // second. A quarter of the upstreams is five times as slow, as many answer
    // 8 % of the requests briefly, and ten of the others 90 %.
    exchange_fleet fleet({.vms = 314, .upstreams = 1714, .requests = 82});
    constexpr std::size_t every = 4;
    for (std::size_t index = 0; index < fleet.upstreams.size(); index += every)
        fleet.upstreams[index].relative_permille = five_times;
    for (std::size_t index = 1; index < fleet.upstreams.size(); index += every)
        fleet.upstreams[index].short_permille = 80;
    constexpr std::size_t failing = 10;
    for (std::size_t index = 0; index < failing; ++index)
        fleet.upstreams[2 + index * every].short_permille = 900;
    fleet.run_for(3s);
    auto const before = sum_traffic(fleet);
    constexpr std::size_t seconds = 4;
    fleet.run_for(std::chrono::seconds(seconds));
    auto const after = sum_traffic(fleet);
    std::size_t const mean =
        (after.sent - before.sent) / seconds / fleet.size.vms;
    // The busiest VM's bytes, also of the start.
    std::size_t const most_sent = after.most_sent / (3 + seconds);
    std::size_t const most_received = after.most_received / (3 + seconds);
    cr_expect_leq(after.most_observation_messages, 16 * (3 + seconds + 1));

    std::size_t slow_ones = 0;
    std::size_t wrong = 0;
    std::size_t ejected = 0;
    std::size_t wrongly_ejected = 0;
    double work = 0;
    for (std::size_t index = 0; index < fleet.upstreams.size(); ++index)
    {
        auto const all = fleet.range(0, fleet.size.vms);
        auto const collected =
            fleet.rating_at(fleet.collector_of(index, all), index);
        if (collected && collected->is_ejected)
            ++(index % every == 2 ? ejected : wrongly_ejected);
        auto const held = fleet.rating_at(0, index);
        if (!held || held->relative_permille <= 1500)
            continue;
        ++(index % every == 0 ? slow_ones : wrong);
        work += held->work_permille;
    }
    work /= static_cast<double>(std::max<std::size_t>(slow_ones + wrong, 1));
    // 82 requests of 250 ms a second from each VM, over slots of all upstreams.
    constexpr double true_work = 82. * 314 / 1714 * 250 / 2;
    cr_log_info(
        "bytes a second: mean sent %zu, most sent %zu, most received %zu; "
        "rated at one VM: %zu of %zu slow ones, %zu others; work %.0f, true "
        "%.0f; ejected: %zu of %zu failing ones, %zu others",
        mean, most_sent, most_received, slow_ones,
        fleet.upstreams.size() / every, wrong, work, true_work, ejected,
        failing, wrongly_ejected);
    cr_expect_lt(mean, 3000);
    cr_expect_lt(most_sent, 12'000);
    cr_expect_lt(most_received, 12'000);
    cr_expect_gt(slow_ones, 150);
    cr_expect_lt(wrong, slow_ones / 20);
    cr_expect_gt(work, .75 * true_work);
    cr_expect_lt(work, 1.33 * true_work);
    cr_expect_geq(ejected, failing / 2);
    cr_expect_lt(wrongly_ejected, fleet.upstreams.size() / every / 20);
}
