#include "router_fixture.hpp"

#include <algorithm>
#include <array>
#include <map>

using namespace cairnhead;
using namespace cairnhead::tagging_test;

namespace
{

constexpr duration target = 250ms;
constexpr std::uint8_t priority = 1;
constexpr std::uint64_t flows = 400;

tagging_settings by_answer_times()
{
    tagging_settings chosen;
    chosen.placement = placement_rule::answer_times;
    return chosen;
}

/// This many upstreams of the domain, with numbers from `first` on.
void add_upstreams(
    std::vector<registered_upstream>& all,
    std::uint64_t first,
    std::uint64_t count,
    std::string const& domain)
{
    for (std::uint64_t number = first; number < first + count; ++number)
        all.push_back(make_upstream(number, "main", domain));
}

/// A VM with ten upstreams in its own failure domain and, from 11 on, ten in
/// another one.
router_fixture make_vm(
    tagging_settings const& settings = by_answer_times(),
    std::optional<std::uint8_t> declared = priority)
{
    std::vector<registered_upstream> upstreams;
    add_upstreams(upstreams, 1, 10, "perth");
    add_upstreams(upstreams, 11, 10, "darwin");
    router_fixture vm(std::move(upstreams), settings);
    vm.list_routes(target, {}, declared);
    return vm;
}

void rate(
    router_fixture& vm,
    std::uint64_t instance,
    std::uint16_t relative,
    std::uint16_t short_share = 0)
{
    upstream_rating rating;
    rating.upstream = tag_of(instance_number(instance));
    rating.relative_permille = relative;
    rating.short_permille = short_share;
    rating.is_ejected = short_share > 0;
    rating.expires_at = vm.now + 3s;
    vm.router.apply_rating(vm.now, rating);
}

/// How many of so many openings each upstream gets.
std::map<std::uint64_t, int> open_many(router_fixture& vm)
{
    std::map<std::uint64_t, int> opened;
    for (std::uint64_t flow = 1; flow <= flows; ++flow)
        ++opened[vm.open(flow)];
    return opened;
}

/// Runs flows of one request each for this long, whose answers take `own` from
/// upstreams of the own failure domain and `other` from those of the other one.
void run_requests(
    router_fixture& vm,
    std::uint64_t& flow,
    duration length,
    duration own,
    duration other)
{
    constexpr duration pause = 10ms;
    struct waiting_request
    {
        time_point answered_at;
        std::uint64_t flow;
        std::uint64_t instance;
    };
    std::vector<waiting_request> waiting;
    for (time_point const until = vm.now + length; vm.now < until;)
    {
        ++flow;
        auto const instance = vm.open(flow);
        if (instance != 0)
        {
            vm.request(flow, instance);
            waiting.push_back(
                {vm.now + (instance > 10 ? other : own), flow, instance});
        }
        vm.wait(pause);
        std::erase_if(
            waiting,
            [&vm](waiting_request const& each)
            {
                if (each.answered_at > vm.now)
                    return false;
                vm.acknowledge(each.flow, each.instance, 1500);
                vm.pass(
                    each.flow, packet_phase::reset,
                    static_cast<std::uint32_t>(each.instance));
                return true;
            });
    }
}

std::size_t count_spilled(router_fixture& vm)
{
    auto const decisions = vm.take<flow_decision>();
    return static_cast<std::size_t>(std::ranges::count(
        decisions, flow_rule::spilled, &flow_decision::rule));
}

} // namespace

// Symptom: openings go to upstreams that are known to be slow.
Test(rated_placement, a_much_slower_upstream_gets_no_flow)
{
    router_fixture vm = make_vm();
    rate(vm, 3, 5000);
    auto opened = open_many(vm);
    cr_expect_eq(opened[3], 0);
    cr_expect_eq(opened[0], 0, "nothing is refused");
    auto const decisions = vm.take<flow_decision>();
    cr_expect_eq(
        std::ranges::count(
            decisions, flow_rule::least_loaded_by_speed, &flow_decision::rule),
        flows);
    vm.wait(3s);
    vm.evacuate({"darwin"});
    cr_expect_gt(open_many(vm)[3], 0, "the rating has expired");
}

// Symptom: an upstream that answers errors at once gets a share of all flows,
// or gets none although no other is left.
Test(rated_placement, an_ejected_upstream_ranks_after_ready_ones)
{
    router_fixture vm = make_vm();
    rate(vm, 3, 1000, 900);
    auto opened = open_many(vm);
    cr_expect_eq(opened[3], 0);
    std::vector<registered_upstream> few;
    add_upstreams(few, 1, 5, "perth");
    for (registered_upstream& each : few)
        each.is_draining = each.instance != instance_number(3);
    vm.list(std::move(few));
    vm.evacuate({"darwin"});
    vm.take<flow_decision>();
    cr_expect_eq(vm.open(flows + 1), 3);
    auto const decisions = vm.take<flow_decision>();
    cr_assert_eq(decisions.size(), 1);
    cr_expect(decisions[0].rule == flow_rule::only_ejected_left);
}

// Symptom: all upstreams of a pool are given up for errors that they all
// answer. Cause: the bound on ejections is kept by nobody.
Test(rated_placement, at_most_a_fifth_of_a_domain_counts_as_ejected)
{
    router_fixture vm = make_vm();
    for (std::uint64_t instance = 1; instance <= 6; ++instance)
        rate(vm, instance, 1000, static_cast<std::uint16_t>(300 + instance));
    auto const explanation = vm.router.explain(
        vm.now, flow_id(1),
        {ipv4_address(0xc6120001), known_port, transport_protocol::tcp});
    std::vector<std::uint64_t> ejected;
    for (upstream_candidate const& each : explanation.candidates)
    {
        if (each.view.verdict == upstream_verdict::ejected)
            ejected.push_back(each.registered.instance.value());
        bool const is_rated = each.registered.instance.value() <= 6;
        cr_expect_eq(each.view.rating.has_value(), is_rated);
    }
    std::ranges::sort(ejected);
    std::vector<std::uint64_t> const worst{5, 6};
    cr_expect(ejected == worst);
}

// Symptom: an operator who has not enabled the placement by answer times, or
// whose routes declare no priority, gets another placement.
Test(rated_placement, flows_are_placed_as_before_without_setting_or_priority)
{
    router_fixture reference = make_vm({});
    router_fixture disabled = make_vm({});
    router_fixture undeclared = make_vm(by_answer_times(), std::nullopt);
    router_fixture unrated = make_vm();
    for (router_fixture* const vm : {&disabled, &undeclared})
    {
        for (std::uint64_t instance = 1; instance <= 5; ++instance)
            rate(*vm, instance, 5000, 900);
    }
    for (std::uint64_t flow = 1; flow <= flows; ++flow)
    {
        auto const expected = reference.open(flow);
        for (router_fixture* const vm : {&disabled, &undeclared, &unrated})
            cr_expect_eq(vm->open(flow), expected);
    }
}

// Symptom: callers of a busy failure domain wait while another has room.
// Also guards against a spill that does not end, and against one to a domain
// that is evacuated.
Test(rated_placement, openings_spill_while_the_own_domain_is_slower)
{
    router_fixture vm = make_vm();
    std::uint64_t flow = 0;
    run_requests(vm, flow, 10s, 20ms, 23ms);
    cr_expect_eq(count_spilled(vm), 0);
    cr_expect(vm.take<report>().empty());
    run_requests(vm, flow, 2s, 120ms, 23ms);
    cr_expect_gt(count_spilled(vm), 10);
    auto const started = vm.take<report>();
    cr_assert_geq(started.size(), 1);
    cr_expect(started[0].kind == report_kind::spill_started);
    cr_expect_eq(started[0].subject, "main");
    vm.evacuate({"darwin"});
    run_requests(vm, flow, 200ms, 120ms, 23ms);
    (void)count_spilled(vm);
    run_requests(vm, flow, 1s, 120ms, 23ms);
    cr_expect_eq(count_spilled(vm), 0, "the other domain is evacuated");
    auto const stopped = vm.take<report>();
    cr_assert_geq(stopped.size(), 1);
    cr_expect(stopped[0].kind == report_kind::spill_stopped);
}

// Symptom: requests that must run once are refused in a burst, while less
// urgent ones are served.
Test(rated_placement, less_urgent_openings_are_refused_first)
{
    std::vector<registered_upstream> upstreams;
    add_upstreams(upstreams, 1, 4, "perth");
    router_fixture vm(std::move(upstreams), by_answer_times());
    vm.list_routes(target, {}, priority);
    std::uint64_t flow = 0;
    run_requests(vm, flow, 10s, 20ms, 20ms);
    run_requests(vm, flow, 600ms, 150ms, 150ms);
    vm.take<flow_decision>();
    int urgent = 0;
    int less_urgent = 0;
    for (int opening = 0; opening < 200; ++opening)
    {
        less_urgent += vm.open(++flow, idempotent_port) == 0 ? 1 : 0;
        urgent += vm.open(++flow) == 0 ? 1 : 0;
    }
    cr_expect_gt(less_urgent, urgent + 20, "%d and %d", less_urgent, urgent);
    bool has_less_urgent = false;
    for (flow_decision const& each : vm.take<flow_decision>())
    {
        if (each.step != flow_step::refused)
            continue;
        cr_expect(each.priority.has_value());
        has_less_urgent |= each.rule == flow_rule::less_urgent;
    }
    cr_expect(has_less_urgent);
}
