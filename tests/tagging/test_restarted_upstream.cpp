#include "router_fixture.hpp"

#include <algorithm>

using namespace cairnhead;
using namespace cairnhead::tagging_test;

namespace
{

constexpr incarnation earlier_incarnation(1'772'409'600'000);
constexpr incarnation later_incarnation(1'772'409'605'000);

registered_upstream make_incarnation(std::uint64_t number, incarnation life)
{
    registered_upstream upstream = make_upstream(number);
    upstream.life = life;
    return upstream;
}

tagged_upstream const& find(router_fixture const& vm, std::uint64_t number)
{
    auto const all = vm.router.upstreams();
    auto const found = std::ranges::find(
        all, tag_of(instance_number(number)), &tagged_upstream::tag);
    cr_assert(found != all.end(), "the upstream is not known");
    return *found;
}

} // namespace

// Symptom: a restarted upstream gets no new flows for up to eight seconds,
// while other upstreams are overloaded. Sequence: it crashes, leaves openings
// unanswered, and restarts under the same instance number. Cause: the state of
// the earlier incarnation is applied to the new one.
Test(restarted_upstream, state_of_the_earlier_incarnation_is_dropped)
{
    router_fixture vm({make_incarnation(1, earlier_incarnation)});
    vm.confirm_openings();
    for (std::uint64_t flow = 1; flow <= 4; ++flow)
        vm.open(flow);
    vm.advance(500ms);
    cr_assert_gt(find(vm, 1).failures, 0);
    cr_assert(vm.now < find(vm, 1).avoided_until);
    cr_assert(find(vm, 1).reach.is_silent());

    auto again = make_incarnation(1, later_incarnation);
    again.cold_milliseconds = 2000;
    vm.list({again});
    cr_expect_eq(find(vm, 1).failures, 0);
    cr_expect(vm.now >= find(vm, 1).avoided_until);
    cr_expect_not(find(vm, 1).reach.is_silent());
    cr_expect(
        find(vm, 1).cold_until == vm.now + 2s, "it is not in slow start again");
    cr_expect(find(vm, 1).registered.life == later_incarnation);
}

// Symptom: a restarted upstream gets no new flows, as if it were full.
// Sequence: an upstream with many flows crashes and restarts.
// Cause: flows that ended with the earlier incarnation are counted until they
// expire.
Test(restarted_upstream, flows_of_the_earlier_incarnation_are_not_counted)
{
    router_fixture vm({make_incarnation(1, earlier_incarnation)});
    for (std::uint64_t flow = 1; flow <= 20; ++flow)
        vm.establish(flow);
    cr_assert_eq(find(vm, 1).flows, 20);
    vm.list({make_incarnation(1, later_incarnation)});
    cr_expect_eq(find(vm, 1).flows, 0);
    cr_expect_eq(vm.router.flow_count(), 0);
}

// Symptom: a live flow is reset, or a dead flow hangs.
// Sequence: an upstream with open flows restarts; one of the flows was opened
// at the new incarnation before this VM learned of the restart. Cause: the VM
// itself decides which of the flows are live. Only the upstream knows, and it
// resets flows that it does not hold.
Test(restarted_upstream, open_flows_are_forwarded_to_the_new_incarnation)
{
    router_fixture vm(
        {make_incarnation(1, earlier_incarnation),
         make_incarnation(2, earlier_incarnation)});
    std::uint64_t const chosen = vm.establish(7);
    std::vector<registered_upstream> const now{
        make_incarnation(1, later_incarnation),
        make_incarnation(2, later_incarnation)};
    vm.list(now);
    cr_expect(vm.take<reset_known_flow>().empty());
    cr_expect_eq(vm.route_tagged(7, chosen), chosen);
}

// Symptom: flows of an upstream that has just restarted are reset.
// Sequence: it falls silent, a check starts, it restarts, and the check ends.
// Cause: the outcome of the check is applied to the new incarnation, though it
// concerns the earlier one.
Test(restarted_upstream, a_check_of_the_earlier_incarnation_is_ignored)
{
    router_fixture vm(
        {make_incarnation(1, earlier_incarnation),
         make_incarnation(2, earlier_incarnation)});
    std::uint64_t const chosen = vm.establish(7);
    vm.request(7, chosen);
    vm.wait(300ms);
    vm.request(7, chosen);
    vm.wait(300ms);
    vm.request(7, chosen);
    auto const checks = vm.take<check_upstream>();
    cr_assert_eq(checks.size(), 1);
    cr_expect(checks[0].life == earlier_incarnation);
    vm.list(
        {make_incarnation(1, later_incarnation),
         make_incarnation(2, later_incarnation)});
    vm.route_tagged(7, chosen);
    vm.end_check(chosen, connection_outcome::unanswered, earlier_incarnation);
    cr_expect(vm.take<reset_known_flow>().empty());
    cr_expect_not(find(vm, chosen).reach.is_unreachable(vm.now));
}

// Symptom: a VM loses an upstream's state each time the upstream is listed.
// Sequence: the upstream is listed again with the same incarnation, also after
// it was missing for a while.
// Cause: a listing is taken for a restart.
Test(restarted_upstream, the_same_incarnation_keeps_its_state)
{
    for (incarnation const life : {earlier_incarnation, incarnation()})
    {
        router_fixture vm(
            {make_incarnation(1, life), make_incarnation(2, life)});
        std::uint64_t const chosen = vm.establish(7);
        auto changed = make_incarnation(chosen, life);
        changed.slots = 9;
        vm.list({changed});
        vm.list({});
        vm.list({changed});
        cr_expect_eq(find(vm, chosen).flows, 1);
    }
}

// Symptom: VMs differ in whether they consider an upstream restarted.
// Sequence: an entry without an incarnation, from another version of the
// upstreams' software, is followed by an entry with one, or the reverse.
// Cause: the two entries can't be shown to be of the same incarnation. That one
// has an incarnation and the other has none shows that the process is another.
Test(restarted_upstream, an_entry_that_gains_an_incarnation_is_a_restart)
{
    router_fixture vm({make_incarnation(1, incarnation())});
    vm.establish(7);
    vm.list({make_incarnation(1, earlier_incarnation)});
    cr_expect_eq(find(vm, 1).flows, 0);
}
