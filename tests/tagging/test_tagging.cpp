#include "router_fixture.hpp"

#include <algorithm>
#include <map>

using namespace cairnhead;
using namespace cairnhead::tagging_test;

namespace
{

bool is_dropped(effect const& result, drop_reason reason)
{
    auto const* const dropped = std::get_if<drop_packet>(&result);
    return dropped != nullptr && dropped->reason == reason;
}

bool is_refused(effect const& result)
{
    auto const* const refused = std::get_if<refuse_opening>(&result);
    return refused != nullptr && refused->style == refusal_style::reset &&
           refused->reason == refusal_reason::no_healthy_upstream;
}

} // namespace

Test(tagging, new_flows_spread_by_load)
{
    // Symptom: one upstream is full while others are idle. Sequence: flows are
    // opened one after the other. Cause: flows or slots are not counted.
    auto large = make_upstream(3);
    large.slots = 8;
    router_fixture vm({make_upstream(1), make_upstream(2), large});
    std::map<std::uint64_t, int> flows;
    for (std::uint64_t flow = 1; flow <= 40; ++flow)
        ++flows[vm.establish(flow)];
    for (auto const& [instance, expected] :
         std::map<std::uint64_t, int>{{1, 10}, {2, 10}, {3, 20}})
        cr_expect_leq(std::abs(flows[instance] - expected), 1);
}

Test(tagging, reset_flows_are_no_longer_counted)
{
    // Symptom: an upstream gets no flows although it is idle. Sequence: callers
    // reset their flows to it. Cause: these flows are counted until they
    // expire.
    router_fixture vm({make_upstream(1), make_upstream(2)});
    std::vector<std::uint64_t> flows_at_first;
    for (std::uint64_t flow = 1; flow <= 20; ++flow)
    {
        if (vm.establish(flow) == 1)
            flows_at_first.push_back(flow);
    }
    for (std::uint64_t const flow : flows_at_first)
        vm.pass(flow, packet_phase::reset, 1);
    for (std::uint64_t flow = 101; flow <= 105; ++flow)
        cr_expect_eq(vm.establish(flow), 1);
}

Test(tagging, draining_upstreams_get_no_new_flow)
{
    // Symptom: requests are cut off when an upstream is stopped as planned.
    // Sequence: it reports that it is draining; flows are opened, also when it
    // is the only upstream left. Cause: it is still used as the last resort.
    auto draining = make_upstream(1);
    draining.is_draining = true;
    router_fixture vm({draining, make_upstream(2)});
    for (std::uint64_t flow = 1; flow <= 20; ++flow)
        cr_expect_eq(vm.establish(flow), 2);
    vm.list({draining});
    vm.wait(vm.settings.missing_grace);
    cr_expect(is_refused(vm.pass(99, packet_phase::opening, 0)));
}

Test(tagging, missing_upstreams_are_a_last_resort_for_a_while)
{
    // Symptom: no request is served after the registry lost its entries, or
    // flows go to an upstream that was stopped. Sequence: the store was down;
    // entries expire and come back later. Cause: an upstream whose entry is
    // missing is considered stopped at once, or never.
    router_fixture vm({make_upstream(1), make_upstream(2)});
    vm.list({make_upstream(2)});
    for (std::uint64_t flow = 1; flow <= 20; ++flow)
        cr_expect_eq(vm.establish(flow), 2);
    vm.list({});
    cr_expect_neq(vm.open(30), 0);
    vm.wait(vm.settings.missing_grace - 1ms);
    cr_expect_neq(vm.open(31), 0);
    vm.wait(1ms);
    cr_expect(is_refused(vm.pass(32, packet_phase::opening, 0)));
    vm.list({make_upstream(1)});
    cr_expect_eq(vm.open(33), 1);
}

Test(tagging, retransmissions_move_on_only_after_unanswered_openings)
{
    // Symptom: a caller's attempt fails although upstreams are free. Sequence:
    // the upstream that got its opening has crashed; a retransmission follows.
    // Cause: the retransmission goes to the same upstream. The opposite fault:
    // an upstream is considered dead because a retransmission arrived before
    // its answer.
    struct table_entry
    {
        duration after;
        bool is_moved;
    };
    tagging_settings const defaults;
    table_entry const table[] = {
        {0ms, false},
        {1ms, false},
        {defaults.answer_timeout - 1ms, false},
        {defaults.answer_timeout, true},
        {200ms, true},
    };
    for (auto const& [after, is_moved] : table)
    {
        router_fixture vm(
            {make_upstream(1), make_upstream(2), make_upstream(3)});
        auto const first = vm.open(7);
        vm.now += after;
        auto const second = vm.open(7);
        cr_expect_neq(second, 0);
        cr_expect_eq(first != second, is_moved);
    }
}

Test(tagging, retransmissions_move_on_when_all_upstreams_are_avoided)
{
    // Symptom: all three attempts of an opening go to one dead upstream.
    // Sequence: every upstream of the pool has recently left an opening
    // unanswered. Cause: only avoidance keeps retransmissions away from the
    // silent upstream, and it has no effect when all upstreams are avoided.
    router_fixture vm({make_upstream(1), make_upstream(2)});
    for (std::uint64_t flow = 1; flow <= 10; ++flow)
    {
        std::uint64_t previous = vm.open(flow);
        for (int retransmissions = 2; retransmissions > 0; --retransmissions)
        {
            vm.now += 200ms;
            auto const next = vm.open(flow);
            cr_expect_neq(next, previous);
            previous = next;
        }
    }
}

Test(tagging, a_process_pause_marks_no_upstream_unanswered)
{
    // Symptom: after a pause a VM avoids all its upstreams. Sequence: its
    // process is paused for a second; an opening and its retransmissions are
    // queued in its socket and handled at the same time. Cause: the number of
    // retransmissions, or the callers' waiting time, is attributed to the
    // upstream.
    router_fixture vm({make_upstream(1), make_upstream(2)});
    vm.wait(1s);
    for (std::uint64_t flow = 1; flow <= 20; ++flow)
    {
        auto const first = vm.open(flow);
        cr_expect_eq(vm.open(flow), first);
        cr_expect_eq(vm.open(flow), first);
    }
}

Test(tagging, openings_queued_during_a_process_pause_are_dropped)
{
    // Symptom: flows are reset by an upstream that does not hold them, seconds
    // after a VM was paused (a soak, seed 17). Sequence: an opening is queued
    // at the paused VM; its retransmission reaches another VM, which places it;
    // the paused VM resumes and places the opening as well; the fabric sends
    // the flow back to it. Cause: an opening is placed although another VM may
    // have placed its retransmission.
    struct table_entry
    {
        char const* name;
        duration pause;
        duration waited;
        bool is_dropped;
    };
    table_entry const table[] = {
        {"queued through a long pause", 2s, 900ms, true},
        {"arrived late in the pause, before its retransmission", 2s, 150ms,
         false},
        {"short pause", 400ms, 350ms, false},
        {"busy, no pause", 50ms, 300ms, false},
    };
    for (auto const& [name, pause, waited, should_be_dropped] : table)
    {
        router_fixture vm({make_upstream(1), make_upstream(2)});
        // The registry was complete before any opening here was queued.
        for (int ticks = 0; ticks < 10; ++ticks)
            vm.wait(100ms);
        vm.now += pause;
        auto const result = vm.open_queued(7, waited);
        cr_expect_eq(
            is_dropped(result, drop_reason::view_expired), should_be_dropped,
            "%s", name);
        // An opening that arrives after the pause is placed.
        vm.wait(100ms);
        cr_expect_neq(vm.open(8), 0, "%s", name);
    }
}

Test(tagging, openings_queued_for_the_registry_are_placed_unless_retransmitted)
{
    // Symptom: after a start of all VMs, callers wait for their next
    // retransmission, or flows are reset by an upstream that does not hold
    // them. Sequence: openings arrive while a VM that has just started reads
    // the registry. Cause: earlier openings are dropped; or they are placed
    // although their retransmission reached another VM.
    struct table_entry
    {
        duration waited;
        bool is_dropped;
    };
    table_entry const table[] = {{20ms, false}, {190ms, false}, {200ms, true}};
    for (auto const& [waited, should_be_dropped] : table)
    {
        // The registry has just come into force.
        router_fixture vm({make_upstream(1), make_upstream(2)});
        auto const result = vm.open_queued(7, waited);
        cr_expect_eq(
            is_dropped(result, drop_reason::view_expired), should_be_dropped);
    }
}

Test(tagging, openings_from_before_a_pause_are_not_retried)
{
    // Symptom: flows are reset by an upstream that does not hold them.
    // Sequence: an opening is placed right before a pause, and its confirmation
    // reaches another VM during the pause. Cause: the missing confirmation is
    // attributed to the upstream.
    router_fixture vm({make_upstream(1), make_upstream(2)});
    vm.wait(100ms);
    vm.open(7);
    vm.now += 2s;
    vm.wait(0ms);
    vm.advance(1s);
    cr_expect(vm.take<send_copy>().empty());
    cr_expect(vm.take<check_upstream>().empty());
}

Test(tagging, the_only_upstream_is_retried)
{
    // Symptom: a pool of one upstream refuses openings after one lost packet.
    // Sequence: the upstream's answer is lost; a retransmission follows. Cause:
    // the silent upstream is excluded although it is the only one.
    router_fixture vm({make_upstream(1)});
    cr_expect_eq(vm.open(7), 1);
    vm.now += 200ms;
    cr_expect_eq(vm.open(7), 1);
    cr_expect_eq(vm.open(8), 1);
}

Test(tagging, tagged_packets_follow_their_upstream)
{
    // Symptom: established flows break when an upstream drains or its entry
    // expires. Sequence: see the table. Cause: tags are looked up only among
    // the upstreams that get new flows, or are removed with the entry.
    auto draining = make_upstream(1);
    draining.is_draining = true;
    struct table_entry
    {
        char const* name;
        std::vector<registered_upstream> listed;
        duration after;
        std::uint64_t expected;
    };
    auto const retention = tagging_settings().upstream_retention;
    table_entry const table[] = {
        {"ready", {make_upstream(1), make_upstream(2)}, 1h, 1},
        {"draining", {draining, make_upstream(2)}, 1h, 1},
        {"removed just now", {make_upstream(2)}, 0s, 1},
        {"removed, end of retention", {make_upstream(2)}, retention, 1},
        {"removed, after retention", {make_upstream(2)}, retention + 2s, 0},
    };
    for (auto const& [name, listed, after, expected] : table)
    {
        router_fixture vm({make_upstream(1), make_upstream(2)});
        vm.list(listed);
        vm.wait(after);
        // Packets in all phases of one flow that another VM placed.
        for (auto const phase :
             {packet_phase::ongoing, packet_phase::closing,
              packet_phase::reset})
        {
            auto const instance =
                router_fixture::instance_of(vm.pass(7, phase, 1));
            cr_expect_eq(instance, expected, "%s", name);
        }
    }
}

Test(tagging, an_unknown_tag_is_dropped)
{
    // Symptom: a caller gets a reset that its upstream did not send. Sequence:
    // a VM that has just started does not know the upstream yet. Cause: the VM
    // treats a flow with an unknown tag as closed.
    router_fixture vm({make_upstream(1)});
    for (auto const phase :
         {packet_phase::ongoing, packet_phase::closing, packet_phase::reset})
    {
        for (std::uint32_t const tag : {0U, 2U, 0xffffffffU})
            cr_expect(
                is_dropped(vm.pass(7, phase, tag), drop_reason::unknown_flow));
    }
}

Test(tagging, a_reused_address_is_not_the_flows_upstream)
{
    // Symptom: an upstream of another service gets a flow's packets. Sequence:
    // an upstream stops, its address is assigned to a new one, and a packet of
    // the old flow arrives. Cause: the flow's upstream is identified by its
    // address alone.
    router_fixture vm({make_upstream(1)});
    vm.establish(7);
    auto other = make_upstream(9, "other");
    other.address = make_upstream(1).address;
    vm.list({other});
    // No upstream holds the flow any more, so none gets its packets.
    effect const result = vm.pass(7, packet_phase::ongoing, 1);
    cr_expect(is_dropped(result, drop_reason::upstream_unreachable));

    // A VM that receives both entries at once cannot tell which upstream is
    // alive. The packet that it forwards names the flow's upstream.
    router_fixture fresh({make_upstream(1), other});
    effect const passed = fresh.pass(7, packet_phase::ongoing, 1);
    auto const* const sent = std::get_if<send_tagged>(&passed);
    cr_assert_not_null(sent);
    cr_expect(sent->target.instance == instance_number(1));
    cr_expect(sent->target.address == other.address);
}

Test(tagging, split_routes_get_their_shares)
{
    // Symptom: a split of 1 to 3 has another ratio, or retransmissions of one
    // opening reach two services. Sequence: many flows are opened at two VMs.
    // Cause: the pool is drawn again for each packet or by each VM.
    router_fixture first({make_upstream(1, "main"), make_upstream(2, "other")});
    router_fixture second(
        {make_upstream(1, "main"), make_upstream(2, "other")});
    constexpr int flows = 4000;
    int at_main = 0;
    for (int number = 0; number < flows; ++number)
    {
        auto const flow = hash_pair(router_seed, static_cast<unsigned>(number));
        auto const instance = first.open(flow, split_port);
        cr_expect_eq(second.open(flow, split_port), instance);
        first.now += 200ms;
        cr_expect_eq(first.open(flow, split_port), instance);
        at_main += instance == 1 ? 1 : 0;
    }
    // Four standard deviations of the binomial distribution.
    cr_expect_leq(std::abs(at_main - flows / 4), 110, "%d", at_main);
}

Test(tagging, openings_without_route_or_upstream_are_not_placed)
{
    router_fixture const unlisted;
    cr_expect(unlisted.router.is_informed());
    router_fixture vm({make_upstream(1, "elsewhere")});
    cr_expect(is_refused(vm.pass(1, packet_phase::opening, 0)));
    cr_expect(is_refused(vm.pass(2, packet_phase::opening, 0, split_port)));
    cr_expect(is_dropped(
        vm.pass(3, packet_phase::opening, 0, unknown_port),
        drop_reason::unknown_destination));
    tagging_settings const settings;
    cr_expect_not(tag_router(settings, {}, router_seed).is_informed());
}

Test(tagging, flows_beyond_the_bound_are_routed)
{
    // Symptom: memory grows until the process is killed, or no flow can be
    // opened any more. Sequence: a VM is flooded with openings. Cause: the
    // table has no bound, or flows beyond the bound are not routed.
    tagging_settings few;
    few.maximum_flows = 10;
    router_fixture vm({make_upstream(1)}, few);
    for (std::uint64_t flow = 1; flow <= 50; ++flow)
        cr_expect_eq(vm.establish(flow), 1);
    cr_expect_eq(vm.router.flow_count(), 10);
    vm.wait(few.idle_timeout + 2s);
    cr_expect_eq(vm.router.flow_count(), 0);
}

Test(tagging, retransmissions_follow_changed_routes_and_draining)
{
    // Symptom: a request is served under a removed route, or reaches an
    // upstream long after it reported that it is draining. Sequence: an opening
    // is placed, the declarations change, the caller's retransmission arrives.
    // Cause: a retransmission is sent to the opening's upstream without a new
    // check of route and upstream.
    router_fixture vm({make_upstream(1)});
    vm.open(7);
    auto draining = make_upstream(1);
    draining.is_draining = true;
    vm.list({draining, make_upstream(2)});
    cr_expect_eq(vm.open(7), 2);
    vm.router.set_listings(
        vm.now, {.routes = std::make_shared<route_listing const>()});
    cr_expect(is_dropped(
        vm.pass(7, packet_phase::opening, 0),
        drop_reason::unknown_destination));
}

Test(tagging, data_in_an_opening_goes_to_one_upstream_or_none)
{
    // Symptom: a request is processed twice. Sequence: its opening carries the
    // data, no upstream answers in time, and the retransmission goes to another
    // upstream. Cause: the opening is handled like one without data.
    router_fixture vm({make_upstream(1), make_upstream(2)});
    cr_expect(is_dropped(
        vm.pass(7, packet_phase::opening_with_data, 0),
        drop_reason::refused_silently));
    auto const opened = [&vm]
    {
        return router_fixture::instance_of(
            vm.pass(8, packet_phase::opening_with_data, 0, idempotent_port));
    };
    auto const first = opened();
    vm.advance(1s);
    cr_expect(vm.take<send_copy>().empty());
    cr_expect_eq(opened(), first);
}

Test(tagging, late_answers_of_tried_upstreams_move_no_flow)
{
    // Symptom: a live flow is reset by an upstream that does not hold it.
    // Sequence: one opening is sent to three upstreams, as answers get lost;
    // the caller confirms the last one. The first upstream retransmits its
    // answer, and the caller copies the tag of the latest packet into its own
    // packets. Cause: the VM follows the tag although the packet's numbers
    // continue the established flow.
    router_fixture vm({make_upstream(1), make_upstream(2), make_upstream(3)});
    vm.confirm_openings();
    std::vector<std::uint64_t> tried{vm.open(7)};
    vm.advance(110ms);
    for (auto const& retried : vm.take_offers())
        tried.push_back(retried.target.instance.value());
    cr_assert_eq(tried.size(), 3);
    auto const upstream = tried.back();
    constexpr std::uint32_t acknowledged = 0xffffff00;
    vm.request_with_acknowledgement(7, upstream, 1, acknowledged);
    for (auto const late : tried)
    {
        // The acknowledgement numbers wrap around here.
        auto const request =
            vm.request_with_acknowledgement(7, late, 101, acknowledged + 1000);
        cr_expect_eq(router_fixture::instance_of(request), upstream);
    }
}

Test(tagging, late_answers_move_no_flow_that_another_vm_placed)
{
    // Symptom: a live flow is reset by an upstream that does not hold it while
    // a VM joins. Sequence: one VM places the opening, and the fabric delivers
    // the flow's later packets to another VM. The first VM receives no
    // confirmation and retries the opening at a second upstream, whose answer
    // changes the tag. Cause: only the VM that placed the opening detects such
    // a change of the tag.
    router_fixture vm({make_upstream(1), make_upstream(2)});
    vm.request_with_acknowledgement(7, 1, 1, 5000);
    auto const request = vm.request_with_acknowledgement(7, 2, 101, 7000);
    cr_expect_eq(router_fixture::instance_of(request), 1);
}

Test(tagging, reused_ports_lead_to_the_new_flows_upstream)
{
    // Symptom: a new flow's packets reach the upstream of an old one. Sequence:
    // a caller reuses its port, and the opening passes another VM. Cause: the
    // old flow's upstream is kept although the numbers belong to another flow.
    router_fixture vm({make_upstream(1), make_upstream(2)});
    vm.request_with_acknowledgement(7, 1, 1, 5000);
    auto const request = vm.request_with_acknowledgement(7, 2, 1, 0x80000000);
    cr_expect_eq(router_fixture::instance_of(request), 2);
}

Test(tagging, the_first_of_two_upstreams_with_one_tag_keeps_it)
{
    // Symptom: flows of one upstream are reset by another. Sequence: two
    // instances have the same low half of their numbers, and thus the same tag.
    // Cause: the later one takes over the tag.
    auto const twin = (std::uint64_t{5} << 32) + 1;
    router_fixture vm({make_upstream(1)});
    cr_expect_eq(vm.establish(7), 1);
    vm.list({make_upstream(1), make_upstream(twin)});
    cr_expect_eq(vm.route_tagged(7, 1), 1);
    cr_expect_eq(vm.open(8), 1);
    vm.list({make_upstream(twin)});
    cr_expect_eq(vm.open(9), twin);
}

Test(tagging, a_confirmed_opening_is_observed_once)
{
    router_fixture vm({make_upstream(1)});
    vm.open(7, idempotent_port);
    vm.advance(5ms);
    vm.route_tagged(7, 1);
    vm.route_tagged(7, 1);
    auto const observed = vm.take<observe_handshake>();
    cr_assert_eq(observed.size(), 1);
    cr_expect(observed.front().latency == 5ms);
    cr_expect(observed.front().traffic == flow_class::feed);
    // Another VM placed this opening, so its latency is unknown here.
    vm.route_tagged(8, 1);
    cr_expect(vm.take<observe_handshake>().empty());
}
