#include "takeover_vm.hpp"

#include <tagging/contested_openings.hpp>

#include <set>

using namespace cairnhead;
using namespace cairnhead::tagging_test;

namespace
{

constexpr std::uint64_t flow = 7;
/// The acknowledgement number of `router_fixture::request`.
constexpr std::uint32_t acknowledged = 500;

/// An opening that two upstreams got.
struct two_offers
{
    std::uint64_t first = 0;
    std::uint64_t second = 0;
};

/// Opens the flow, and lets the first upstream leave it unanswered.
two_offers open_twice(takeover_vm& vm)
{
    two_offers offers;
    vm.confirm_openings();
    offers.first = vm.open(flow);
    vm.advance(60ms);
    auto const copies = vm.copies();
    cr_assert_eq(copies.size(), 2);
    offers.second = copies.front();
    return offers;
}

} // namespace

// Guards against a flow that is reset by an upstream that also got its opening,
// when all VMs that knew the flow have been restarted.
Test(contested_openings, the_other_upstream_learns_the_confirmed_tag)
{
    takeover_vm vm;
    auto const offers = open_twice(vm);
    vm.request(flow, provisional_tag_of(offers.second));
    auto const corrections = vm.take<send_copy>();
    cr_assert_eq(corrections.size(), 1);
    cr_expect_eq(corrections[0].target.instance.value(), offers.first);
    // The other upstream repeats its answer with this tag, and a VM that knows
    // nothing of the flow passes on the packets that follow.
    takeover_vm restarted;
    cr_expect_eq(
        restarted.instance_of(
            restarted.request(flow, corrections[0].tag.value(), 200)),
        offers.second);
    cr_expect(restarted.take_messages<flow_lookup>().empty());
}

// Guards against the same where the slow upstream is the confirmed one.
Test(contested_openings, a_later_upstream_learns_the_confirmed_tag)
{
    takeover_vm vm;
    auto const offers = open_twice(vm);
    vm.request(flow, provisional_tag_of(offers.first));
    auto const corrections = vm.take<send_copy>();
    cr_assert_eq(corrections.size(), 1);
    cr_expect_eq(corrections[0].target.instance.value(), offers.second);
    cr_expect(corrections[0].tag == tag_of(instance_number(offers.first)));
}

// Guards against the same where the caller confirms the opening through another
// VM, which asks about the flow or tells its upstream.
Test(contested_openings, a_confirmation_elsewhere_corrects_the_others)
{
    for (bool const is_asked : {true, false})
    {
        takeover_vm vm;
        auto const offers = open_twice(vm);
        upstream_tag const confirmed = tag_of(instance_number(offers.second));
        if (is_asked)
            vm.receive(
                second_peer, flow_lookup{
                                 flow_id(flow),
                                 upstream_tag(static_cast<std::uint32_t>(
                                     provisional_tag_of(offers.second))),
                                 acknowledged});
        else
            vm.receive(flow_binding{flow_id(flow), confirmed, acknowledged});
        auto const corrections = vm.take<send_copy>();
        cr_assert_eq(corrections.size(), 1);
        cr_expect_eq(corrections[0].target.instance.value(), offers.first);
        cr_expect(corrections[0].tag == confirmed);
    }
}

// Guards against the same where this VM got the caller's copy of an opening
// that another VM, which may have been killed since, had placed.
Test(contested_openings, an_offer_after_another_vms_is_corrected)
{
    takeover_vm vm;
    vm.confirm_openings();
    auto const own =
        router_fixture::instance_of(vm.open_retransmission(flow, 1));
    std::uint64_t const other = own == 1 ? 2 : 1;
    vm.request(flow, provisional_tag_of(other), first_sequence);
    auto const corrections = vm.take<send_copy>();
    cr_assert_eq(corrections.size(), 1);
    cr_expect_eq(corrections[0].target.instance.value(), own);
    cr_expect(corrections[0].tag == tag_of(instance_number(other)));
}

// Guards against the same where the caller confirms an upstream that got the
// opening from another VM.
Test(contested_openings, an_only_offer_is_corrected)
{
    takeover_vm vm;
    auto const own = vm.open(flow);
    vm.advance(60ms);
    cr_expect(vm.take<send_copy>().empty(), "a VM just started retries none");
    upstream_tag const other = tag_of(instance_number(own == 1 ? 2 : 1));
    vm.receive(flow_binding{flow_id(flow), other, acknowledged});
    auto const corrections = vm.take<send_copy>();
    cr_assert_eq(corrections.size(), 1);
    cr_expect_eq(corrections[0].target.instance.value(), own);
    cr_expect(corrections[0].tag == other);
}

// Guards against an upstream that answers with a provisional tag again, by
// which a VM that does not know the flow cannot find it.
Test(contested_openings, a_late_copy_of_an_opening_carries_the_confirmed_tag)
{
    for (bool const is_draining : {false, true})
    {
        takeover_vm vm;
        auto const upstream = vm.open(flow);
        vm.request(flow, provisional_tag_of(upstream), first_sequence);
        auto listed = make_upstream(upstream);
        listed.is_draining = is_draining;
        vm.list({listed, make_upstream(4)});
        effect const passed = vm.open_retransmission(flow, 1);
        auto const* const sent = std::get_if<send_tagged>(&passed);
        cr_assert_not_null(sent);
        cr_expect_eq(sent->target.instance.value(), upstream);
        cr_expect(sent->tag == tag_of(instance_number(upstream)));
    }
}

// Guards against a tag that is believed as if no other upstream had got the
// opening, when the VM that could correct it was killed.
Test(contested_openings, the_first_upstream_learns_that_it_is_superseded)
{
    takeover_vm vm;
    vm.confirm_openings();
    auto const first = vm.open(flow);
    vm.advance(60ms);
    auto const copies = vm.take<send_copy>();
    cr_assert_eq(copies.size(), 2);
    auto const second = copies[0].target.instance.value();
    cr_expect_eq(copies[0].tag.value(), provisional_tag_of(second));
    cr_expect_eq(copies[1].target.instance.value(), first);
    cr_expect_eq(
        copies[1].tag.value(),
        provisional_tag_of(first, offer_standing::superseded));
    // The caller may confirm either.
    cr_expect_eq(
        vm.instance_of(vm.request(flow, copies[1].tag.value())), first);
}

// Guards against an upstream whose correction was lost on the way.
Test(contested_openings, a_packet_with_another_tag_repeats_the_correction)
{
    takeover_vm vm;
    auto const offers = open_twice(vm);
    vm.request(flow, provisional_tag_of(offers.second));
    cr_expect_eq(vm.take<send_copy>().size(), 1);
    vm.request(flow, provisional_tag_of(offers.second), 200);
    cr_expect_eq(vm.take<send_copy>().size(), 1, "either may be lost");
    vm.request(flow, provisional_tag_of(offers.first), 200);
    cr_expect(vm.take<send_copy>().empty(), "both are on their way");
    vm.wait(200ms);
    vm.request(flow, offers.second, 300);
    cr_expect(vm.take<send_copy>().empty(), "the tag is right");
    vm.request(flow, provisional_tag_of(offers.first), 400);
    auto const corrections = vm.take<send_copy>();
    cr_assert_eq(corrections.size(), 1);
    cr_expect_eq(corrections[0].target.instance.value(), offers.first);
}

// Guards against a reset by an upstream that has stopped listening.
Test(contested_openings, an_upstream_that_leaves_gets_no_copy)
{
    auto draining = [](registered_upstream upstream)
    {
        upstream.is_draining = true;
        return upstream;
    };
    for (bool const is_listed : {true, false})
    {
        takeover_vm vm;
        auto const offers = open_twice(vm);
        std::vector<registered_upstream> left;
        for (std::uint64_t number = 1; number <= 3; ++number)
        {
            if (number != offers.first)
                left.push_back(make_upstream(number));
            else if (is_listed)
                left.push_back(draining(make_upstream(number)));
        }
        vm.list(left);
        vm.request(flow, provisional_tag_of(offers.second));
        cr_expect(vm.take<send_copy>().empty());
    }
}

// Guards against flows that look lost, as most of their packets go to other
// upstreams than their own.
Test(contested_openings, few_corrections_follow_one_packet)
{
    takeover_vm vm;
    vm.confirm_openings();
    std::set<std::uint64_t> offered{vm.open(flow)};
    vm.advance(500ms);
    for (std::uint64_t const copy : vm.copies())
        offered.insert(copy);
    vm.wait(1s);
    vm.open_retransmission(flow, 1);
    vm.take<send_copy>();
    cr_assert_eq(offered.size(), 3);
    std::uint64_t const confirmed = *offered.begin();
    vm.request(flow, provisional_tag_of(confirmed));
    cr_expect_leq(vm.take<send_copy>().size(), 2);
}

// Guards against the opening of an earlier flow between the same ports.
Test(contested_openings, a_new_flow_forgets_the_earlier_opening)
{
    takeover_vm vm;
    auto const offers = open_twice(vm);
    vm.request(flow, provisional_tag_of(offers.second));
    vm.take<send_copy>();
    vm.wait(5s);
    auto const next = vm.open(flow);
    vm.request(flow, provisional_tag_of(next));
    cr_expect(vm.take<send_copy>().empty());
}

// Guards against a table that grows without a bound when all openings are
// retried.
Test(contested_openings, expire_and_are_bounded)
{
    contested_openings known;
    time_point const start{1h};
    std::uint8_t const bytes[] = {1, 2, 3};
    opening_offer offer{
        .flow = flow_id(1),
        .caller = {},
        .destination = {},
        .bytes = bytes,
        .earlier = upstream_tag(1),
        .latest = upstream_tag(2)};
    known.record(start, offer);
    offer.earlier = upstream_tag(2);
    offer.latest = upstream_tag(3);
    known.record(start + 50ms, offer);
    auto const* const found = known.find(offer.flow);
    cr_assert_not_null(found);
    std::vector<upstream_tag> const expected{
        upstream_tag(1), upstream_tag(2), upstream_tag(3)};
    cr_expect(found->offered_to == expected);
    // An upstream repeats its answer for up to 11 s.
    known.expire(start + 11s);
    cr_expect_not_null(known.find(offer.flow));
    known.expire(start + 13s);
    cr_expect_null(known.find(offer.flow));
    for (std::uint64_t number = 0; number < 20'000; ++number)
    {
        offer.flow = flow_id(number);
        known.record(start, offer);
    }
    cr_expect_leq(known.size(), 4'096);
}
