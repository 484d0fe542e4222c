#include "router_fixture.hpp"

#include <algorithm>

using namespace cairnhead;
using namespace cairnhead::tagging_test;

namespace
{

constexpr incarnation earlier_incarnation(1'000);
constexpr incarnation later_incarnation(2'000);

/// Returns the upstream with this number, registered at the address of
/// number 1.
registered_upstream at_first_address(std::uint64_t number)
{
    auto upstream = make_upstream(number, "other");
    upstream.address = make_upstream(1).address;
    return upstream;
}

bool ends_flow(effect const& decided)
{
    auto const* const dropped = std::get_if<drop_packet>(&decided);
    return dropped != nullptr &&
           dropped->reason == drop_reason::upstream_unreachable;
}

} // namespace

// Symptom: callers wait until their deadlines for answers on flows opened
// before a crash. Sequence: upstreams crash while their callers are idle; two
// seconds later their addresses belong to upstreams of another service, which
// ignore packets meant for others; then callers send requests again. Cause: a
// check of the silent upstream reaches the upstream that has its address now.
Test(taken_over_address, flows_of_the_earlier_upstream_end_at_once)
{
    for (bool const is_still_listed : {false, true})
    {
        router_fixture vm({make_upstream(1)});
        vm.open(7);
        vm.request(7, 1);
        std::vector<registered_upstream> listed{at_first_address(2)};
        if (is_still_listed)
            listed.insert(listed.begin(), make_upstream(1));
        vm.list(listed);
        vm.advance(1ms);
        auto const resets = vm.take<reset_known_flow>();
        cr_assert_eq(resets.size(), 1);
        cr_expect_eq(resets.front().caller.port, 7);
        cr_expect_eq(resets.front().acknowledged, 500);
    }
}

Test(taken_over_address, a_packet_of_a_flow_of_another_vm_is_answered)
{
    router_fixture vm({make_upstream(1)});
    vm.list({make_upstream(1), at_first_address(2)});
    cr_expect(ends_flow(vm.request(7, 1)));
    auto const resets = vm.take<reset_known_flow>();
    cr_assert_eq(resets.size(), 1);
    cr_expect_eq(resets.front().caller.port, 7);
    cr_expect_eq(resets.front().acknowledged, 500);
    cr_expect_eq(vm.router.flow_count(), 0);
    // A reset that the caller sends needs no answer.
    cr_expect(ends_flow(vm.pass(8, packet_phase::reset, 1)));
    cr_expect(vm.take<reset_known_flow>().empty());
}

Test(taken_over_address, the_earlier_upstream_gets_no_openings)
{
    router_fixture vm({make_upstream(1), make_upstream(3)});
    vm.list({make_upstream(1), at_first_address(2), make_upstream(3)});
    for (std::uint64_t flow = 10; flow < 40; ++flow)
        cr_expect_eq(vm.establish(flow), 3);
}

// Symptom: a flow of a live upstream is reset. Cause: the VM guessed which of
// two upstreams registered later.
Test(taken_over_address, no_flow_ends_if_the_order_is_unknown)
{
    // The first listing contains both.
    router_fixture fresh({make_upstream(1), at_first_address(2)});
    cr_expect_eq(router_fixture::instance_of(fresh.request(7, 1)), 1);
    cr_expect_eq(router_fixture::instance_of(fresh.request(8, 2)), 2);

    // The later entry has the earlier incarnation.
    auto first = make_upstream(1);
    first.life = later_incarnation;
    auto stray = at_first_address(2);
    stray.life = earlier_incarnation;
    router_fixture vm({first});
    vm.list({first, stray});
    cr_expect_eq(router_fixture::instance_of(vm.request(7, 1)), 1);

    // An entry vanishes and returns, as after an outage of the metadata store.
    router_fixture back({make_upstream(1)});
    back.list({});
    back.list({make_upstream(1)});
    cr_expect_eq(router_fixture::instance_of(back.request(7, 1)), 1);
}

// Guards against flows that are reset because an entry of another writer, which
// lacks the time of a start, has the address of their upstream.
Test(taken_over_address, an_entry_without_a_start_takes_no_address_over)
{
    auto first = make_upstream(1);
    first.life = later_incarnation;
    router_fixture vm({first});
    vm.open(7);
    vm.request(7, 1);
    vm.list({first, at_first_address(2)});
    vm.advance(1ms);
    cr_expect(vm.take<reset_known_flow>().empty());
    cr_expect_eq(router_fixture::instance_of(vm.request(7, 1)), 1);
    cr_expect_eq(router_fixture::instance_of(vm.request(8, 1)), 1);
}

// Symptom: a flow of a live upstream is reset. Sequence: a wrong entry with the
// upstream's address is listed and then removed. Cause: the removed entry still
// counts as having taken over the address.
Test(taken_over_address, a_removed_entry_takes_no_address_over)
{
    router_fixture vm({make_upstream(1)});
    vm.list({make_upstream(1), at_first_address(2)});
    vm.list({make_upstream(1)});
    cr_expect_eq(router_fixture::instance_of(vm.request(7, 1)), 1);
}
