#include "router_fixture.hpp"

#include <algorithm>

using namespace cairnhead;
using namespace cairnhead::tagging_test;

namespace
{

constexpr incarnation first_life(1'772'409'600'000);
constexpr incarnation second_life(1'772'409'605'000);

registered_upstream start_of(std::uint64_t number, incarnation life)
{
    registered_upstream upstream = make_upstream(number);
    upstream.life = life;
    return upstream;
}

tagged_upstream const& find(bench const& vm, std::uint64_t number)
{
    auto const all = vm.router.upstreams();
    auto const found = std::ranges::find(
        all, tag_of(instance_number(number)), &tagged_upstream::tag);
    cr_assert(found != all.end(), "the upstream is not known");
    return *found;
}

} // namespace

// Symptom: an upstream that started again gets no new flows for up to eight
// seconds, while its neighbours are overloaded.
// Sequence: it crashes, leaves openings unanswered, and starts again under its
// number.
// Cause: what was believed of the start before is taken for true of this one.
Test(restarted_upstream, nothing_believed_of_the_earlier_start_holds)
{
    bench vm({start_of(1, first_life)});
    vm.see_confirmations();
    for (std::uint64_t flow = 1; flow <= 4; ++flow)
        vm.open(flow);
    vm.advance(500ms);
    cr_assert_gt(find(vm, 1).failures, 0);
    cr_assert(vm.now < find(vm, 1).avoided_until);
    cr_assert(find(vm, 1).reach.is_doubted());

    auto again = start_of(1, second_life);
    again.cold_milliseconds = 2000;
    vm.list({again});
    cr_expect_eq(find(vm, 1).failures, 0);
    cr_expect(vm.now >= find(vm, 1).avoided_until);
    cr_expect_not(find(vm, 1).reach.is_doubted());
    cr_expect(find(vm, 1).cold_until == vm.now + 2s, "it is cold again");
    cr_expect(find(vm, 1).registered.life == second_life);
}

// Symptom: new flows avoid an upstream that started again, as if it were full.
// Sequence: it had many flows, crashes, and starts again.
// Cause: flows that ended with its earlier start are counted until they expire.
Test(restarted_upstream, flows_of_the_earlier_start_count_no_more)
{
    bench vm({start_of(1, first_life)});
    for (std::uint64_t flow = 1; flow <= 20; ++flow)
        vm.establish(flow);
    cr_assert_eq(find(vm, 1).flows, 20);
    vm.list({start_of(1, second_life)});
    cr_expect_eq(find(vm, 1).flows, 0);
    cr_expect_eq(vm.router.flow_count(), 0);
}

// Symptom: a flow that lives is reset, or one that is dead hangs.
// Sequence: flows are open at an upstream that starts again; one of them was
// opened at the new start before this VM learned of it.
// Cause: a VM that decides by itself which of them live. The upstream knows: it
// resets what it does not hold.
Test(restarted_upstream, open_flows_go_to_it_and_it_decides)
{
    bench vm({start_of(1, first_life), start_of(2, first_life)});
    std::uint64_t const chosen = vm.establish(7);
    std::vector<registered_upstream> const now{
        start_of(1, second_life), start_of(2, second_life)};
    vm.list(now);
    cr_expect(vm.take<reset_known_flow>().empty());
    cr_expect_eq(vm.go_on(7, chosen), chosen);
}

// Symptom: flows of an upstream that just started are reset.
// Sequence: it falls silent, is checked, starts again; then the check ends.
// Cause: what the check found of the earlier start is believed of this one.
Test(restarted_upstream, a_check_of_the_earlier_start_says_nothing)
{
    bench vm({start_of(1, first_life), start_of(2, first_life)});
    std::uint64_t const chosen = vm.establish(7);
    vm.request(7, chosen);
    vm.wait(300ms);
    vm.request(7, chosen);
    vm.wait(300ms);
    vm.request(7, chosen);
    auto const checks = vm.take<check_upstream>();
    cr_assert_eq(checks.size(), 1);
    cr_expect(checks[0].life == first_life);
    vm.list({start_of(1, second_life), start_of(2, second_life)});
    vm.go_on(7, chosen);
    vm.end_check(chosen, connection_outcome::unanswered, first_life);
    cr_expect(vm.take<reset_known_flow>().empty());
    cr_expect_not(find(vm, chosen).reach.is_unreachable(vm.now));
}

// Symptom: beliefs of an upstream are lost each time that it is listed.
// Sequence: it is listed again as it was, or missed in between.
// Cause: a listing that is taken for a start.
Test(restarted_upstream, the_same_start_keeps_what_is_believed)
{
    for (incarnation const life : {first_life, incarnation()})
    {
        bench vm({start_of(1, life), start_of(2, life)});
        std::uint64_t const chosen = vm.establish(7);
        auto changed = start_of(chosen, life);
        changed.slots = 9;
        vm.list({changed});
        vm.list({});
        vm.list({changed});
        cr_expect_eq(find(vm, chosen).flows, 1);
    }
}

// Symptom: a reborn upstream is treated by VMs as they happen to know it.
// Sequence: entries of another version of the upstreams' software, which do not
// say when they started, are followed by such that do, or the reverse.
// Cause: none of the two is known to be the same start as the other; another
// way of telling shows another process.
Test(restarted_upstream, one_that_begins_to_tell_its_start_has_started)
{
    bench vm({start_of(1, incarnation())});
    vm.establish(7);
    vm.list({start_of(1, first_life)});
    cr_expect_eq(find(vm, 1).flows, 0);
}
