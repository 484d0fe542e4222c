#include <support/fleet.hpp>

#include <base/hash.hpp>

#include <criterion/criterion.h>
#include <string>
#include <vector>

using namespace cairnhead;
using namespace cairnhead::test;

/// Each row of these tests is a fault; all rows share the promise that no
/// established flow breaks. docs/PROOFS.md lists them by cell.

namespace
{

constexpr std::size_t flow_count = 400;
std::vector<std::string> const domains = {"stirling", "perth"};

sample_declarations sample(std::string const& prefer = "balance")
{
    sample_declarations made;
    made.domains = domains;
    made.prefer = prefer;
    return made;
}

fleet make_fleet(
    std::string const& prefer = "balance", std::size_t vm_count = 6)
{
    return fleet(sample_fleet(vm_count, domains, {sample(prefer)}));
}

void open_flows(fleet& vms, std::size_t count = flow_count)
{
    endpoint const address = sample().address();
    for (std::size_t opened = 0; opened < count; ++opened)
    {
        vms.open(address);
        vms.run_for(1ms);
    }
    vms.run_for(3s);
}

/// All flows send again and again for a while: retransmissions get through.
void let_flows_talk(fleet& vms, duration length)
{
    time_point const end = vms.now() + length;
    while (vms.now() < end)
    {
        vms.let_all_send(5s);
        vms.run_for(5s);
    }
    vms.run_for(10s);
}

vm_id vm(std::uint32_t number)
{
    return vm_id((127U << 24 | 1U << 8) + number);
}

failure_domain_id domain(std::size_t position)
{
    return make_failure_domain_id(domains[position]);
}

void assert_whole(
    fleet const& vms, std::size_t expected = flow_count, char const* name = "")
{
    fleet_counts const counts = vms.counts();
    cr_assert_eq(counts.broken, 0U, "%s: broken=%zu", name, counts.broken);
    cr_assert_eq(
        counts.established, expected, "%s: established=%zu", name,
        counts.established);
    cr_assert_eq(vms.spilled(), 0U);
    cr_assert_eq(vms.run_twice(), 0U);
}

} // namespace

Test(reducer, serves_flows_at_all_vms)
{
    fleet vms = make_fleet();
    vms.start();
    open_flows(vms);
    let_flows_talk(vms, 20s);
    assert_whole(vms);
}

Test(reducer, keeps_flows_through_a_planned_fault)
{
    // Symptom: feeds break while operators replace VMs or change labels.
    // Sequence: flows are open, one of the planned changes below happens, and
    // the flows go on sending.
    // Cause: the VM that gets a packet after the change has no pin for it.
    struct row
    {
        char const* name;
        void (*happens)(fleet&);
    };
    row const rows[] = {
        {"a VM joins",
         [](fleet& vms)
         {
             vms.add({vm(20), domain(0)});
         }},
        {"a VM leaves",
         [](fleet& vms)
         {
             vms.leave(vm(1));
         }},
        {"two VMs leave, one after the other",
         [](fleet& vms)
         {
             vms.leave(vm(1));
             vms.run_for(40s);
             vms.leave(vm(2));
         }},
        {"an upstream drains",
         [](fleet& vms)
         {
             sample_declarations changed = sample();
             changed.draining = {0, 1, 2};
             vms.publish(
                 "organisations/association", changed.organisation_text());
         }},
        {"the selector changes to other upstreams",
         [](fleet& vms)
         {
             sample_declarations changed = sample();
             changed.selector = "app=none";
             vms.publish(
                 "organisations/association", changed.organisation_text());
         }},
        {"upstreams are added",
         [](fleet& vms)
         {
             sample_declarations changed = sample();
             changed.upstreams = 20;
             vms.publish(
                 "organisations/association", changed.organisation_text());
         }},
        {"a VM joins while upstreams drain",
         [](fleet& vms)
         {
             vms.add({vm(20), domain(1)});
             sample_declarations changed = sample();
             changed.draining = {3, 4};
             vms.publish(
                 "organisations/association", changed.organisation_text());
         }},
    };
    for (row const& fault : rows)
    {
        fleet vms = make_fleet();
        vms.start();
        open_flows(vms);
        fault.happens(vms);
        let_flows_talk(vms, 40s);
        assert_whole(vms, flow_count, fault.name);
    }
}

Test(reducer, keeps_flows_through_an_unplanned_fault)
{
    // Symptom: one VM fails and feeds break.
    // Sequence: flows are open; one of the faults below happens; callers
    // repeat what is lost. Cause: only the failed VM knew the flow's upstream.
    struct row
    {
        char const* name;
        void (*happens)(fleet&);
    };
    row const rows[] = {
        {"a VM dies",
         [](fleet& vms)
         {
             vms.kill(vm(1));
         }},
        {"a VM restarts without its pins",
         [](fleet& vms)
         {
             vms.restart(vm(2));
         }},
        {"a VM restarts, and another dies later",
         [](fleet& vms)
         {
             vms.restart(vm(2));
             vms.let_all_send(5s);
             vms.run_for(60s);
             vms.kill(vm(3));
         }},
        {"two VMs die, one a minute after the other",
         [](fleet& vms)
         {
             vms.kill(vm(1));
             vms.let_all_send(5s);
             vms.run_for(60s);
             vms.kill(vm(2));
         }},
        {"a VM sleeps for a second",
         [](fleet& vms)
         {
             vms.pause(vm(1));
             vms.run_for(1s);
             vms.resume(vm(1));
         }},
        {"a VM sleeps for twenty seconds",
         [](fleet& vms)
         {
             vms.pause(vm(1));
             vms.let_all_send(15s);
             vms.run_for(20s);
             vms.resume(vm(1));
         }},
        {"the platform is down",
         [](fleet& vms)
         {
             vms.set_platform_down(true);
         }},
        {"the platform is down and a VM dies",
         [](fleet& vms)
         {
             vms.set_platform_down(true);
             vms.kill(vm(4));
         }},
        {"the platform is stale while a label changes",
         [](fleet& vms)
         {
             vms.set_platform_stale(true);
             vms.run_for(5s);
             vms.set_platform_stale(false);
         }},
        {"a whole failure domain dies",
         [](fleet& vms)
         {
             vms.kill(vm(1));
             vms.kill(vm(3));
             vms.kill(vm(5));
         }},
    };
    for (row const& fault : rows)
    {
        fleet vms = make_fleet();
        vms.start();
        open_flows(vms);
        fault.happens(vms);
        let_flows_talk(vms, 40s);
        assert_whole(vms, flow_count, fault.name);
    }
}

Test(reducer, keeps_idle_flows_through_a_rolling_replacement)
{
    // Symptom: a screen that was silent for minutes has lost its feed.
    // Sequence: all VMs are replaced one by one while a flow is idle, so that
    // no packet of it carries its pin to the new VMs.
    // Cause: leaving VMs exit before idle pins stand on two others.
    fleet vms = make_fleet();
    vms.start();
    open_flows(vms);
    for (std::uint32_t number = 1; number <= 6; ++number)
    {
        vms.add({vm(20 + number), domain(number % 2)});
        vms.run_for(20s);
        vms.leave(vm(number));
        vms.run_for(60s);
        cr_assert_not(vms.is_up(vm(number)));
    }
    let_flows_talk(vms, 30s);
    assert_whole(vms);
}

Test(reducer, joins_without_guessing_about_flows_of_others)
{
    // Symptom: one feed in twenty thousand breaks when a VM joins.
    // Sequence: the joiner has the declarations, but not yet the members; the
    // fabric hands it a packet of a flow that is not at its predicted upstream.
    // Cause: knowing itself alone, it took itself for the owner, found no pin
    // and sent by prediction.
    fleet vms = make_fleet("continuity");
    vms.start();
    open_flows(vms);
    // Makes the prediction of most flows wrong.
    sample_declarations changed = sample("continuity");
    changed.upstreams = 60;
    vms.publish("organisations/association", changed.organisation_text());
    vms.run_for(5s);
    for (std::uint32_t number = 20; number < 30; ++number)
    {
        vms.add({vm(number), domain(number % 2)});
        vms.let_all_send(500ms);
        vms.run_for(2s);
    }
    let_flows_talk(vms, 20s);
    assert_whole(vms);
}

Test(reducer, opens_flows_at_once_after_many_joins)
{
    // Symptom: for twenty seconds after a fleet's start some callers are not
    // answered, however often they repeat.
    // Sequence: eight VMs join one after the other, and flows open at once.
    // Cause: a packet that had visited the most VMs allowed was dropped on its
    // way back to the owner, which was to decide.
    std::vector<std::string> const four = {"a", "b", "c", "d"};
    sample_declarations declared = sample();
    declared.domains = four;
    fleet vms(sample_fleet(8, four, {declared}));
    vms.start();
    open_flows(vms);
    cr_assert_eq(vms.drops(drop_reason::visited_too_many), 0U);
    assert_whole(vms);
}

Test(reducer, gives_an_address_that_moved_to_its_new_organisation)
{
    // Symptom: a new connection reaches the former organisation's upstream.
    // Sequence: an address is allotted to another organisation while a flow
    // is open; its caller opens a new flow from the same port.
    // Cause: the SYN was taken for one of the flow that stands.
    sample_declarations first = sample();
    sample_declarations second = sample();
    second.organisation = "brackenlea";
    second.network = 17;
    fleet vms(sample_fleet(4, domains, {first, second}));
    vms.start();
    std::size_t const old_flow = vms.open(first.address());
    vms.run_for(3s);
    std::string const moved = second.organisation_text();
    std::string const from = "198.51.17.1";
    std::string text = moved;
    text.replace(text.find(from), from.size(), "198.51.16.1");
    vms.publish(
        "allotment",
        "organisations:\n  association:\n    addresses: [198.51.99.0/24]\n"
        "    upstreams: [127.0.16.0/24]\n  brackenlea:\n"
        "    addresses: [198.51.16.0/23]\n    upstreams: [127.0.17.0/24]\n");
    vms.publish("organisations/brackenlea", text);
    vms.run_for(5s);
    vms.send(old_flow);
    vms.run_for(5s);
    cr_assert(vms.flow(old_flow).state == caller_state::established);
    vms.reopen(old_flow);
    vms.run_for(5s);
    cr_assert(vms.flow(old_flow).state == caller_state::established);
    cr_assert_eq(vms.flow(old_flow).upstream.value() >> 8 & 0xff, 17U);
}

Test(reducer, serves_both_halves_of_a_split_fleet)
{
    // Symptom: during a cut between failure domains nothing new is served,
    // or flows break after it heals.
    // Sequence: flows are open, the cut comes, new flows open, it heals.
    // Cause: owners on the far side are waited for.
    fleet vms = make_fleet();
    vms.start();
    open_flows(vms);
    vms.cut(domain(0), domain(1));
    vms.run_for(15s);
    let_flows_talk(vms, 20s);
    vms.heal();
    vms.run_for(30s);
    let_flows_talk(vms, 20s);
    assert_whole(vms);
}

Test(reducer, opens_new_flows_again_after_a_vm_died)
{
    // Symptom: some callers cannot connect although most VMs are up.
    // Sequence: a VM dies; openings whose owner it was come later.
    // Cause: the dead VM is still taken for an owner.
    fleet vms = make_fleet();
    vms.start();
    vms.kill(vm(1));
    vms.run_for(10s);
    open_flows(vms);
    assert_whole(vms);
}

Test(reducer, survives_loss_between_vms)
{
    // Symptom: flows break in a busy network without any VM failing.
    // Sequence: one packet in fifty is lost on its way to the VMs.
    // Cause: a lost copy of a pin is taken for one that arrived.
    fleet_settings settings = sample_fleet(6, domains, {sample()});
    settings.lost_permille = 20;
    fleet vms(std::move(settings));
    vms.start();
    open_flows(vms);
    vms.run_for(10s);
    let_flows_talk(vms, 30s);
    assert_whole(vms);
}

Test(reducer, sends_no_new_flow_to_a_draining_upstream_after_three_seconds)
{
    // Symptom: an upstream is stopped and the work it just got is lost.
    // Sequence: the operator sets the label `draining`, waits three seconds
    // and stops the upstream. Cause: a VM that had not yet heard of it.
    fleet vms = make_fleet();
    vms.start();
    open_flows(vms);
    sample_declarations changed = sample();
    changed.draining = {0, 1, 2};
    vms.publish("organisations/association", changed.organisation_text());
    vms.run_for(3s);
    auto const before = vms.openings();
    open_flows(vms);
    auto after = vms.openings();
    for (std::size_t const position : changed.draining)
    {
        upstream_id const draining = changed.upstream_at(position);
        cr_assert_eq(after[draining], before.at(draining));
    }
}

Test(reducer, moves_openings_away_from_a_dead_upstream)
{
    // Symptom: callers wait in vain while other upstreams are idle.
    // Sequence: an upstream dies without a word; openings go on.
    // Cause: nobody concludes anything from unanswered openings.
    fleet vms = make_fleet();
    vms.start();
    open_flows(vms);
    vms.kill_upstream(sample().upstream_at(0));
    vms.run_for(1s);
    open_flows(vms);
    vms.run_for(60s);
    fleet_counts const counts = vms.counts();
    cr_assert_eq(counts.opening, 0U, "opening=%zu", counts.opening);
    cr_assert_eq(counts.refused, 0U);
    cr_assert_eq(vms.run_twice(), 0U);
}

Test(reducer, does_not_eject_an_upstream_for_one_deaf_caller)
{
    // Symptom: a healthy upstream gets no work for minutes.
    // Sequence: one caller's path back is cut, so it repeats its opening
    // again and again; no other flow opens meanwhile.
    // Cause: each repetition counted as a failure of the upstream.
    fleet vms = make_fleet();
    vms.start();
    vms.set_answers_lost(true);
    vms.open(sample().address());
    vms.run_for(15s);
    cr_assert_eq(vms.reports(report_kind::upstream_ejected), 0U);
}

Test(reducer, keeps_an_organisation_at_its_last_good_version)
{
    // Symptom: one organisation's typing error stops the others' services.
    // Sequence: a document that is not valid is published.
    // Cause: documents are applied as one.
    sample_declarations other = sample();
    other.organisation = "brackenlea";
    other.network = 17;
    fleet vms(sample_fleet(6, domains, {sample(), other}));
    vms.start();
    open_flows(vms);
    vms.publish("organisations/association", "organisation: [not, valid");
    vms.run_for(5s);
    other.draining = {0};
    vms.publish("organisations/brackenlea", other.organisation_text());
    vms.run_for(5s);
    cr_assert_gt(vms.reports(report_kind::document_rejected), 0U);
    open_flows(vms);
    for (std::size_t opened = 0; opened < flow_count; ++opened)
        vms.open(other.address());
    vms.run_for(5s);
    assert_whole(vms, 3 * flow_count);
    cr_assert_eq(vms.openings()[other.upstream_at(0)], 0U);
}

Test(reducer, never_reverts_to_an_older_version)
{
    // Symptom: a drained upstream gets work again minutes later.
    // Sequence: a change is in force; the platform then answers from an old
    // snapshot, and a VM joins that hears of nothing else.
    // Cause: whoever answered last is believed.
    fleet vms = make_fleet();
    vms.start();
    vms.set_platform_stale(true);
    vms.set_platform_stale(false);
    sample_declarations changed = sample();
    changed.draining = {0};
    vms.set_platform_stale(true);
    vms.set_platform_stale(false);
    vms.publish("organisations/association", changed.organisation_text());
    vms.run_for(5s);
    vms.set_platform_stale(true);
    vms.run_for(60s);
    vms.add({vm(20), domain(0)});
    vms.run_for(20s);
    open_flows(vms);
    cr_assert_eq(vms.openings()[changed.upstream_at(0)], 0U);
    assert_whole(vms);
}

Test(reducer, refuses_by_limits_and_sends_nothing_of_what_it_refused)
{
    // Symptom: a caller is told that its application was not run, and it was.
    // Sequence: openings beyond the declared limit. Cause: refusing after a
    // packet of the opening was sent.
    sample_declarations limited = sample();
    limited.limits = "{openings: 60/s}";
    fleet vms(sample_fleet(6, domains, {limited}));
    vms.start();
    std::vector<std::size_t> opened;
    for (std::size_t number = 0; number < flow_count; ++number)
    {
        opened.push_back(vms.open(limited.address()));
        vms.run_for(1ms);
    }
    vms.run_for(5s);
    fleet_counts const counts = vms.counts();
    cr_assert_gt(counts.refused, flow_count / 2);
    std::size_t placed = 0;
    for (auto const& [upstream, openings] : vms.openings())
        placed += openings;
    cr_assert_eq(placed + counts.refused, flow_count);
}

Test(reducer, places_nothing_while_it_knows_no_declarations)
{
    // Symptom: a VM that just joined sends work to an upstream that left.
    // Sequence: the platform and all peers are out of reach at its start.
    // Cause: serving before the highest versions are known.
    fleet_settings settings = sample_fleet(1, domains, {sample()});
    fleet vms(std::move(settings));
    vms.set_platform_down(true);
    vms.add({vm(1), domain(0)});
    vms.run_for(30s);
    cr_assert(
        vms.reducer_of(vm(1)).view(vms.now()).state == serving_state::joining);
    vms.open(sample().address());
    vms.run_for(1s);
    cr_assert_eq(vms.openings().size(), 0U);
}

Test(reducer, explains_an_address_that_no_service_has)
{
    fleet vms = make_fleet();
    vms.start();
    endpoint const unknown{ipv4_address(1), 1, transport_protocol::tcp};
    flow_explanation const found =
        vms.reducer_of(vm(1)).explain(vms.now(), flow_id(1), unknown);
    cr_assert(found.rule == routing_rule::unknown_destination);
}
