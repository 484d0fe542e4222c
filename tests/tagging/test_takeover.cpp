#include "takeover_vm.hpp"

#include <tagging/flow_bindings.hpp>
#include <tagging/held_packets.hpp>
#include <tagging/message_budget.hpp>

using namespace cairnhead;
using namespace cairnhead::tagging_test;

namespace
{

constexpr std::uint64_t flow = 7;
/// The acknowledgement number of `router_fixture::request`.
constexpr std::uint32_t acknowledged = 500;

bool is_held(effect const& decided)
{
    return std::holds_alternative<keep_copy>(decided);
}

} // namespace

// Guards against a flow that is reset by an upstream that also got its opening,
// when the flow moves to a VM that does not know it.
Test(takeover, an_unknown_flow_with_a_provisional_tag_is_looked_up)
{
    takeover_vm vm;
    auto const tag_asked = static_cast<std::uint32_t>(provisional_tag_of(2));
    cr_expect(is_held(vm.request(flow, provisional_tag_of(2), 100)));
    cr_expect(is_held(vm.request(flow, provisional_tag_of(2), 200)));
    flow_lookup const asked{
        flow_id(flow), upstream_tag(tag_asked), acknowledged};
    auto const lookups = vm.take_messages<flow_lookup>();
    cr_assert_eq(lookups.size(), 2, "one for each peer");
    cr_expect(lookups[0].first == first_peer);
    cr_expect(lookups[1].first == second_peer);
    cr_expect(lookups[0].second == asked);
    vm.receive(
        flow_binding{asked.flow, tag_of(instance_number(1)), acknowledged});
    std::vector<std::uint64_t> const expected{1, 1};
    cr_expect(vm.copies() == expected);
    cr_expect_eq(
        vm.instance_of(vm.request(flow, provisional_tag_of(3), 300)), 1);
    vm.advance(1s);
    cr_expect(vm.copies().empty());
}

// Guards against a caller that waits in vain when the VM that knew its flow is
// gone.
Test(takeover, an_unanswered_lookup_believes_the_tag_of_the_first_packet)
{
    takeover_vm vm;
    cr_expect(is_held(vm.request(flow, provisional_tag_of(2), first_sequence)));
    vm.advance(100ms);
    std::vector<std::uint64_t> const expected{2};
    cr_expect(vm.copies() == expected);
    cr_expect_eq(
        vm.instance_of(vm.request(flow, provisional_tag_of(3), 200)), 2);
    auto const told = vm.take_messages<flow_binding>();
    cr_assert_eq(told.size(), 2, "the next VM would have to guess as well");
    cr_expect(told[0].second.upstream == tag_of(instance_number(2)));
}

// Guards against a flow that is reset by an upstream that also got its opening,
// after all VMs that knew the flow were killed.
Test(takeover, an_unanswered_lookup_believes_no_tag_of_a_later_packet)
{
    takeover_vm vm;
    cr_expect(is_held(vm.request(flow, provisional_tag_of(2))));
    vm.advance(100ms);
    cr_expect(vm.copies().empty());
    auto const decisions = vm.take<flow_decision>();
    cr_assert_eq(decisions.size(), 1);
    cr_expect(decisions[0].step == flow_step::dropped);
    cr_expect(decisions[0].rule == flow_rule::unknown_tag);
    cr_expect(vm.take_messages<flow_binding>().empty());
    // A VM that knows the flow may be back when the caller repeats the packet.
    cr_expect(is_held(vm.request(flow, provisional_tag_of(2))));
    vm.receive(
        flow_binding{flow_id(flow), tag_of(instance_number(1)), acknowledged});
    std::vector<std::uint64_t> const expected{1};
    cr_expect(vm.copies() == expected);
}

// Guards against the same where the caller has sent nothing since it confirmed
// the opening: the upstream that got it first repeats its answer.
Test(takeover, an_unanswered_lookup_believes_no_superseded_tag)
{
    takeover_vm vm;
    auto const tag = provisional_tag_of(2, offer_standing::superseded);
    cr_expect(is_held(vm.request(flow, tag, first_sequence)));
    vm.advance(100ms);
    cr_expect(vm.copies().empty());
    auto const decisions = vm.take<flow_decision>();
    cr_assert_eq(decisions.size(), 1);
    cr_expect(decisions[0].rule == flow_rule::named_by_superseded_tag);
}

// Guards against a request that waits for its second packet when the flow moves
// to another VM: its first packet, which alone names the upstream, came late.
Test(takeover, the_first_packet_may_come_late)
{
    takeover_vm vm;
    cr_expect(is_held(vm.request(flow, provisional_tag_of(2), 100)));
    cr_expect(is_held(vm.request(flow, provisional_tag_of(2), first_sequence)));
    vm.advance(100ms);
    std::vector<std::uint64_t> const expected{2, 2};
    cr_expect(vm.copies() == expected);
}

// Guards against packets that are sent long after their caller has sent them
// again.
Test(takeover, packets_held_through_a_pause_are_dropped)
{
    takeover_vm vm;
    cr_expect(is_held(vm.request(flow, provisional_tag_of(2))));
    vm.wait(1s);
    cr_expect(vm.copies().empty());
}

// Guards against messages and delays for flows whose upstream is certain.
Test(takeover, a_confirmed_tag_needs_no_lookup)
{
    takeover_vm vm;
    cr_expect_eq(vm.instance_of(vm.request(flow, 2)), 2);
    cr_expect(vm.take_messages<flow_lookup>().empty());
}

Test(takeover, openings_carry_a_provisional_tag_and_other_packets_do_not)
{
    takeover_vm vm;
    auto const tag_sent = [](effect const& decided)
    {
        auto const* const sent = std::get_if<send_tagged>(&decided);
        cr_assert_not_null(sent);
        return sent->tag.value();
    };
    effect const opened = vm.pass(flow, packet_phase::opening, 0);
    auto const instance = vm.instance_of(opened);
    cr_expect_eq(tag_sent(opened), provisional_tag_of(instance));
    cr_expect_eq(
        tag_sent(vm.request(flow, provisional_tag_of(instance))), instance);
}

// Guards against openings that carry another upstream's tag.
Test(takeover, a_provisional_tag_that_is_taken_is_not_used)
{
    constexpr std::uint64_t first = 0x00000005;
    std::uint64_t const second = provisional_tag_of(first);
    router_fixture vm({make_upstream(first), make_upstream(second)});
    for (std::uint64_t number = 1; number <= 8; ++number)
    {
        effect const opened = vm.pass(number, packet_phase::opening, 0);
        auto const* const sent = std::get_if<send_tagged>(&opened);
        cr_assert_not_null(sent);
        cr_expect(sent->tag == tag_of(sent->target.instance));
    }
}

// Guards against retries by a VM that the fabric has taken out of use: the
// caller's confirmation goes through another VM, and each retry makes one more
// upstream hold the opening.
Test(takeover, a_lookup_ends_the_retries_of_the_opening)
{
    takeover_vm vm;
    vm.confirm_openings();
    auto const instance = vm.open(flow);
    vm.receive(
        second_peer, flow_lookup{
                         flow_id(flow),
                         upstream_tag(static_cast<std::uint32_t>(
                             provisional_tag_of(instance))),
                         acknowledged});
    auto const answers = vm.take_messages<flow_binding>();
    cr_assert_eq(answers.size(), 1);
    cr_expect(answers[0].first == second_peer);
    cr_expect(answers[0].second.upstream == tag_of(instance_number(instance)));
    vm.advance(1s);
    cr_expect(vm.copies().empty());
    // The flow comes back with the tag of another answer.
    std::uint64_t const other = instance == 1 ? 2 : 1;
    cr_expect_eq(
        vm.instance_of(vm.request(flow, provisional_tag_of(other))), instance);
}

Test(takeover, a_lookup_of_a_confirmed_flow_is_answered)
{
    takeover_vm vm;
    auto const instance = vm.open(flow);
    vm.request(flow, provisional_tag_of(instance));
    std::uint64_t const other = instance == 1 ? 2 : 1;
    flow_lookup asked{
        flow_id(flow), tag_of(instance_number(other)), acknowledged + 1000};
    vm.receive(first_peer, asked);
    auto const answers = vm.take_messages<flow_binding>();
    cr_assert_eq(answers.size(), 1);
    cr_expect(answers[0].second.upstream == tag_of(instance_number(instance)));
    // An earlier or later flow between the same ports.
    asked.acknowledged = acknowledged + 2 * maximum_number_distance;
    vm.receive(first_peer, asked);
    asked = {flow_id(flow + 1), asked.tag, acknowledged};
    vm.receive(first_peer, asked);
    cr_expect(vm.take_messages<flow_binding>().empty());
}

// Guards against a flow that is reset after the only VM that knew its upstream
// was killed.
Test(takeover, peers_are_told_of_a_flow_whose_opening_was_retried)
{
    takeover_vm vm;
    vm.confirm_openings();
    auto const first = vm.open(flow);
    vm.advance(60ms);
    auto const copies = vm.copies();
    cr_assert_eq(copies.size(), 2);
    vm.take_messages<flow_binding>();
    vm.request(flow, provisional_tag_of(first));
    auto const told = vm.take_messages<flow_binding>();
    cr_assert_eq(told.size(), 2);
    cr_expect(told[0].second.upstream == tag_of(instance_number(first)));

    takeover_vm other;
    other.receive(told[0].second);
    cr_expect_eq(
        other.instance_of(other.request(flow, provisional_tag_of(copies[0]))),
        first);
    cr_expect(other.take_messages<flow_lookup>().empty());
}

// Guards against messages for each flow while nothing is wrong.
Test(takeover, peers_are_not_told_of_other_flows)
{
    takeover_vm vm;
    auto const instance = vm.open(flow);
    vm.request(flow, provisional_tag_of(instance));
    cr_expect(vm.take_messages<flow_binding>().empty());
}

// Guards against packets of an earlier flow that reach the upstream of the next
// one between the same ports.
Test(takeover, an_opening_drops_what_is_held_of_an_earlier_flow)
{
    takeover_vm vm;
    cr_expect(is_held(vm.request(flow, provisional_tag_of(2))));
    vm.open(flow);
    vm.receive(
        flow_binding{flow_id(flow), tag_of(instance_number(1)), acknowledged});
    cr_expect(vm.copies().empty());
}

// Guards against a late copy of an opening that makes the VM forget which
// upstream the caller has confirmed since.
Test(takeover, a_copy_of_an_opening_keeps_what_was_told)
{
    takeover_vm vm;
    vm.receive(
        flow_binding{flow_id(flow), tag_of(instance_number(1)), acknowledged});
    vm.open_retransmission(flow, 1);
    vm.advance(10s);
    vm.wait(1s);
    cr_expect_eq(vm.instance_of(vm.request(flow, provisional_tag_of(2))), 1);
}

// Guards against VMs that send more than they may when many flows move.
Test(takeover, lookups_beyond_the_budget_believe_the_tag)
{
    takeover_vm vm;
    std::uint64_t held = 0;
    for (std::uint64_t number = 1; number <= 1'200; ++number)
    {
        effect const decided =
            vm.request(number, provisional_tag_of(2), first_sequence);
        held += is_held(decided) ? 1 : 0;
        if (!is_held(decided))
            cr_expect_eq(vm.instance_of(decided), 2);
        vm.advance(1ms);
    }
    // Each takes two messages for the lookup and two to tell the result, of a
    // burst of 2,000.
    cr_expect_geq(held, 500);
    cr_expect_lt(held, 1'000);
}

Test(takeover, without_peers_the_tag_is_believed)
{
    router_fixture vm({make_upstream(1), make_upstream(2)});
    cr_expect_eq(
        vm.instance_of(vm.request(flow, provisional_tag_of(2), first_sequence)),
        2);
}

// Guards against a reset by another upstream where no VM can be asked.
Test(takeover, without_peers_no_tag_of_a_later_packet_is_believed)
{
    router_fixture vm({make_upstream(1), make_upstream(2)});
    effect const later = vm.request(flow, provisional_tag_of(2));
    cr_expect(std::holds_alternative<drop_packet>(later));
    effect const superseded = vm.request(
        flow, provisional_tag_of(2, offer_standing::superseded),
        first_sequence);
    cr_expect(std::holds_alternative<drop_packet>(superseded));
}

// Guards against lookups of flows whose upstream has left, which use up the
// messages for others.
Test(takeover, few_lookups_are_for_tags_that_name_no_upstream)
{
    takeover_vm vm;
    std::uint64_t held = 0;
    for (std::uint64_t number = 1; number <= 1'000; ++number)
    {
        held += is_held(vm.request(number, 77)) ? 1 : 0;
        vm.advance(1ms);
    }
    cr_expect_gt(held, 200);
    cr_expect_lt(held, 400);
    cr_expect(
        is_held(vm.request(2'000, provisional_tag_of(2), first_sequence)));
}

// Guards against a flow that peers forget while its caller pauses, though the
// configuration allows the pause.
Test(takeover, peers_remember_a_flow_for_its_lifetime)
{
    takeover_vm vm;
    vm.receive(
        flow_binding{flow_id(flow), tag_of(instance_number(1)), acknowledged});
    vm.wait(vm.settings.flow_lifetime - 1s);
    vm.receive(
        first_peer, flow_lookup{flow_id(flow), upstream_tag(77), acknowledged});
    auto const answers = vm.take_messages<flow_binding>();
    cr_assert_eq(answers.size(), 1);
    cr_expect(answers[0].second.upstream == tag_of(instance_number(1)));
    vm.wait(2s);
    vm.receive(
        first_peer, flow_lookup{flow_id(flow), upstream_tag(77), acknowledged});
    cr_expect(vm.take_messages<flow_binding>().empty());
}

// Guards against a flow that its own VM forgets: a caller pauses, and a new
// configuration allows longer pauses meanwhile.
Test(takeover, a_contested_flow_is_known_after_its_entry_has_expired)
{
    takeover_vm vm;
    vm.confirm_openings();
    auto const first = vm.open(flow);
    vm.advance(60ms);
    vm.request(flow, provisional_tag_of(first));
    std::uint64_t const other = first == 1 ? 2 : 1;
    vm.wait(2 * vm.settings.idle_timeout);
    cr_expect_eq(vm.router.flow_count(), 0);
    cr_expect_eq(
        vm.instance_of(vm.request(flow, provisional_tag_of(other), 200)),
        first);
}

Test(flow_bindings, expire_and_are_bounded)
{
    flow_bindings known;
    time_point const start{1h};
    upstream_tag const upstream(3);
    known.record(start, start + 30s, flow_id(1), upstream, 100);
    known.record(start + 20s, start + 50s, flow_id(1), upstream, 200);
    cr_expect(known.find(flow_id(1), 300) == upstream);
    known.expire(start + 31s);
    cr_expect(known.find(flow_id(1), 300) == upstream, "recorded again");
    known.expire(start + 51s);
    cr_expect_not(known.find(flow_id(1), 300).has_value());
    for (std::uint64_t number = 0; number < 20'000; ++number)
        known.record(start + 1min, start + 2min, flow_id(number), upstream, 1);
    cr_expect_leq(known.size(), 16'384);
    cr_expect(known.find(flow_id(19'999), 1).has_value());
}

Test(held_packets, come_back_in_the_order_of_their_arrival)
{
    held_packets held;
    time_point const start{1h};
    std::uint8_t const bytes[] = {4, 5, 6};
    packet_arrived packet;
    packet.bytes = bytes;
    packet.flow = flow_id(1);
    packet.progress.sequence = 10;
    held.add(packet, start + 30ms);
    packet.flow = flow_id(2);
    held.add(packet, start + 40ms);
    packet.flow = flow_id(1);
    packet.progress.sequence = 20;
    held.add(packet, start + 50ms);
    cr_expect(held.next_due() == start + 30ms);
    cr_expect_not(held.take_due(start + 29ms).has_value());
    auto const first = held.take_due(start + 30ms);
    cr_assert(first.has_value());
    cr_assert_eq(first->packets.size(), 2);
    cr_expect_eq(first->packets[0].arrived.progress.sequence, 10);
    cr_expect_eq(first->packets[1].arrived.progress.sequence, 20);
    cr_expect(
        first->packets[0].bytes ==
        std::vector<std::uint8_t>(std::begin(bytes), std::end(bytes)));
    cr_expect(held.next_due() == start + 40ms);
    cr_expect(held.take(flow_id(2)).has_value());
    cr_expect_not(held.next_due().has_value());
    for (int number = 0; held.has_room(); ++number)
    {
        cr_assert_lt(number, 10'000);
        held.add(packet, start + 60ms);
    }
}
