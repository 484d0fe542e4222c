#include "router_fixture.hpp"

#include <algorithm>
#include <array>

using namespace cairnhead;
using namespace cairnhead::tagging_test;

namespace
{

constexpr std::uint64_t established_flows = 4;
constexpr duration target = 150ms;

/// A VM whose callers get each of their answers after `delay`.
router_fixture make_vm_with_delay(duration delay)
{
    router_fixture vm({make_upstream(1), make_upstream(2)});
    vm.list_routes(target);
    std::array<std::uint64_t, established_flows> upstream_of{};
    for (std::uint64_t flow = 0; flow < established_flows; ++flow)
        upstream_of[flow] = vm.establish(flow + 1);
    for (std::uint32_t round = 1; round <= 40; ++round)
    {
        for (std::uint64_t flow = 0; flow < established_flows; ++flow)
            vm.request(flow + 1, upstream_of[flow], round * 100);
        vm.wait(delay);
        for (std::uint64_t flow = 0; flow < established_flows; ++flow)
            vm.acknowledge(flow + 1, upstream_of[flow], 500 + round * 100);
        vm.open(1'000 + round);
    }
    vm.take<flow_decision>();
    return vm;
}

bool is_refusal(effect const& result)
{
    return std::holds_alternative<refuse_opening>(result);
}

} // namespace

// Symptom: in a burst all callers wait, and none is served in time.
// Sequence: answers exceed the target latency; further flows are opened.
// Cause: openings that cannot be served in time are queued behind the others.
Test(overload, openings_beyond_the_target_latency_are_refused_with_a_reason)
{
    router_fixture vm = make_vm_with_delay(300ms);
    int refused = 0;
    for (std::uint64_t flow = 5'000; flow < 5'100; ++flow)
    {
        auto const result = vm.pass(flow, packet_phase::opening, 0);
        auto const* const refusal = std::get_if<refuse_opening>(&result);
        if (refusal == nullptr)
            continue;
        ++refused;
        cr_expect(refusal->reason == refusal_reason::upstreams_full);
    }
    cr_expect_gt(refused, 80);
    auto const decisions = vm.take<flow_decision>();
    cr_expect_eq(
        std::ranges::count(
            decisions, flow_rule::queue_too_long, &flow_decision::rule),
        refused);
}

// Symptom: a caller's flow is reset although its upstream serves it.
// Sequence: a retransmission of an opening reaches a VM after another VM, or
// the same one, placed the original, and the flow is established by now.
// Cause: a VM refuses an opening that some VM may have placed.
Test(overload, only_openings_that_no_vm_has_placed_are_refused)
{
    router_fixture vm = make_vm_with_delay(300ms);
    for (std::uint64_t flow = 5'000; flow < 5'100; ++flow)
    {
        cr_expect_not(is_refusal(vm.open_retransmission(flow, 1)));
        cr_expect_not(is_refusal(vm.open_queued(flow + 1'000, 200ms)));
        bool const was_placed =
            !is_refusal(vm.pass(flow + 2'000, packet_phase::opening, 0));
        if (was_placed)
            cr_expect_not(
                is_refusal(vm.pass(flow + 2'000, packet_phase::opening, 0)));
    }
}

Test(overload, established_flows_are_never_refused)
{
    router_fixture vm = make_vm_with_delay(300ms);
    for (std::uint64_t flow = 7'000; flow < 7'100; ++flow)
        cr_expect_neq(vm.route_tagged(flow, 1), 0);
}

Test(overload, no_opening_is_refused_while_answers_are_in_time)
{
    router_fixture vm = make_vm_with_delay(50ms);
    for (std::uint64_t flow = 5'000; flow < 5'200; ++flow)
        cr_expect_neq(vm.open(flow), 0);
}

// Symptom: a service refuses callers while its upstreams have capacity.
// Sequence: a route is split between two pools, and one of them is overloaded.
// Cause: delays are recorded for the route's first pool, not for the pool of
// the upstream that answered.
Test(overload, delays_of_one_pool_refuse_no_opening_of_another)
{
    router_fixture vm({make_upstream(1), make_upstream(2, "other")});
    vm.list_routes(target);
    for (std::uint32_t round = 1; round <= 40; ++round)
    {
        for (std::uint64_t flow = 1; flow <= established_flows; ++flow)
            vm.request(flow, 2, round * 100);
        vm.wait(300ms);
        for (std::uint64_t flow = 1; flow <= established_flows; ++flow)
            vm.acknowledge(flow, 2, 500 + round * 100);
        cr_expect_neq(vm.open(1'000 + round), 0);
    }
}
