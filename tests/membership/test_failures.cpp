#include <base/ipv4.hpp>
#include <fleet.hpp>

#include <criterion/criterion.h>

using namespace cairnhead;
using namespace cairnhead::testing;

namespace
{

constexpr std::uint32_t fleet_size = 9;
constexpr std::uint32_t domain_count = 3;

/// A round over the fleet, a failed probe, the suspicion and its spreading.
constexpr duration detection_bound = 10s;

/// One failure domain is cut off from the two others.
bool is_between_domains(vm_id sender, vm_id receiver)
{
    failure_domain_id const cut_off(0);
    return (domain_of(sender, domain_count) == cut_off) !=
           (domain_of(receiver, domain_count) == cut_off);
}

/// The sequence that a VM's next ping to an unknown address carries.
std::uint32_t ping_sequence(fleet& vms, vm_id sender)
{
    effect_list effects;
    vms.at(sender).hint(vms.now(), std::vector{vm(77)}, effects);
    auto const& sent = std::get<send_control>(effects.front());
    return std::get<ping>(sent.body).sequence;
}

std::size_t alarms(fleet const& vms, time_point since)
{
    return vms.count_reports(report_kind::member_died, since);
}

} // namespace

Test(membership, killed_vm_is_found_dead_by_all)
{
    // Symptom: packets are handed to a VM that is gone. Sequence: a VM is
    // killed, probes of it fail. Cause: nobody tells the others of a crash.
    fleet vms(fleet_size, domain_count);
    auto const generation = vms.at(vm(1)).generation();
    vms.kill(vm(5));
    vms.run_for(detection_bound);
    cr_assert(vms.is_settled());
    cr_assert_eq(alarms(vms, {}), fleet_size - 1);
    cr_assert_neq(vms.at(vm(1)).generation(), generation);
    cr_assert_not(vms.at(vm(1)).is_reachable(vm(5)));
    cr_assert_eq(vms.reports.front().subject, "10.0.0.5");
}

Test(membership, late_waker_declares_nobody_dead)
{
    // Symptom: healthy VMs are reported dead after a pause. Sequence: a VM
    // suspects a peer, pauses beyond the timeout and wakes. Cause: the
    // deadline passed while the VM could read no answer.
    for (waking const how : {waking::expires_view, waking::unnoticed})
    {
        fleet vms(fleet_size, domain_count);
        effect_list effects;
        member_update const claim{
            vm(2), failure_domain_id(2), {}, member_status::suspect};
        member_update suspicion = claim;
        suspicion.life = vms.at(vm(1)).find(vm(2))->life;
        vms.deliver(vm(1), {vm(3), ping{1, 0, {suspicion}}});
        cr_assert_eq(vms.status(vm(1), vm(2)), member_status::suspect);
        vms.pause(vm(1));
        vms.run_for(20s);
        time_point const woken = vms.now();
        vms.wake(vm(1), how);
        vms.run_for(detection_bound);
        cr_assert_eq(alarms(vms, woken), 0);
        cr_assert(vms.is_settled());
    }
}

Test(membership, late_waker_is_not_fresh_before_a_peer_answers)
{
    // Symptom: two owners for one flow. Sequence: a VM pauses, its socket
    // holds an answer and a listing from before, it wakes cut off. Cause:
    // the old messages pass for a confirmation of the view.
    fleet vms(fleet_size, domain_count);
    std::uint32_t const sequence = ping_sequence(vms, vm(1));
    vms.pause(vm(1));
    member const peer = *vms.at(vm(1)).find(vm(2));
    member const self = *vms.at(vm(1)).find(vm(1));
    vms.deliver(
        vm(1), {vm(2), ping_answer{sequence, vm(2), 0, {make_claim(peer)}}});
    vms.deliver(
        vm(1), {vm(2), member_listing{
                           listing_kind::answer,
                           {make_claim(peer), make_claim(self)}}});
    vms.run_for(5s);
    vms.faults.is_cut = [](vm_id sender, vm_id receiver)
    {
        return sender == vm(1) || receiver == vm(1);
    };
    vms.wake(vm(1), waking::expires_view, socket_buffer::kept);
    cr_assert_not(vms.at(vm(1)).is_view_fresh(vms.now()));
    vms.faults.is_cut = {};
    vms.run_for(1s);
    cr_assert(vms.at(vm(1)).is_view_fresh(vms.now()));
}

Test(membership, lone_survivor_becomes_fresh_again)
{
    // Symptom: the only VM left of a partition serves nothing new. Sequence:
    // it wakes late, nobody answers. Cause: it waits for peers that are gone.
    fleet vms(fleet_size, domain_count);
    vms.pause(vm(1));
    vms.run_for(5s);
    for (std::uint32_t number = 2; number <= fleet_size; ++number)
        vms.kill(vm(number));
    vms.wake(vm(1), waking::expires_view);
    vms.run_for(2s);
    cr_assert_not(vms.at(vm(1)).is_view_fresh(vms.now()));
    vms.run_for(1s);
    cr_assert(vms.at(vm(1)).is_view_fresh(vms.now()));
    vms.run_for(detection_bound);
    cr_assert(vms.is_settled());
}

Test(membership, late_waker_learns_who_died_meanwhile)
{
    // Symptom: a woken VM hands packets to VMs that are gone. Sequence: one
    // dies during the pause, its death stops spreading, the sleeper wakes.
    // Cause: claims are repeated a bounded number of times only.
    fleet vms(fleet_size, domain_count);
    vms.pause(vm(1));
    vms.kill(vm(5));
    vms.run_for(60s);
    vms.wake(vm(1), waking::expires_view);
    cr_assert(vms.at(vm(1)).is_view_fresh(vms.now()));
    cr_assert_eq(vms.status(vm(1), vm(5)), member_status::dead);
    vms.run_for(detection_bound);
    cr_assert(vms.is_settled());
}

Test(membership, one_way_cut_kills_nobody)
{
    // Symptom: a healthy VM is declared dead. Sequence: one VM's packets to
    // one other are lost, so its direct probes fail. Cause: a single path is
    // taken for the VM.
    fleet vms(fleet_size, domain_count);
    vms.faults.is_cut = [](vm_id sender, vm_id receiver)
    {
        return sender == vm(1) && receiver == vm(2);
    };
    vms.run_for(60s);
    cr_assert_eq(alarms(vms, {}), 0);
    cr_assert(vms.at(vm(1)).is_reachable(vm(2)));
}

Test(membership, partition_splits_and_heals)
{
    // Symptom: the fleet stays split after the network healed. Sequence: a
    // failure domain is cut off, both sides find the other dead, for longer
    // than dead VMs are remembered too. Cause: nobody probes the dead.
    for (duration const length : {duration(20s), duration(11min)})
    {
        fleet vms(fleet_size, domain_count);
        vms.faults.is_cut = is_between_domains;
        vms.run_for(length);
        cr_assert_not(vms.at(vm(1)).is_domain_reachable(failure_domain_id(0)));
        cr_assert(vms.at(vm(1)).is_domain_reachable(failure_domain_id(2)));
        cr_assert(vms.at(vm(3)).is_domain_reachable(failure_domain_id(0)));
        cr_assert(vms.at(vm(3)).is_view_fresh(vms.now()));
        time_point const healed = vms.now();
        vms.faults.is_cut = {};
        vms.run_for(detection_bound);
        cr_assert(vms.is_settled());
        cr_assert_eq(alarms(vms, healed), 0);
    }
}

Test(membership, join_through_one_seed_survives_its_silence)
{
    // Symptom: a joiner places flows as if it were alone. Sequence: the seed
    // is unreachable at first. Cause: the one request was lost.
    fleet vms(fleet_size, domain_count);
    vms.faults.is_cut = [](vm_id sender, vm_id)
    {
        return sender == vm(10);
    };
    vms.start(vm(10), {vm(4)}, incarnation(1));
    cr_assert_not(vms.at(vm(10)).is_view_fresh(vms.now()));
    vms.faults.is_cut = {};
    vms.run_for(1s);
    cr_assert(vms.at(vm(10)).is_view_fresh(vms.now()));
    cr_assert_eq(vms.at(vm(10)).members().size(), fleet_size + 1);
    vms.run_for(detection_bound);
    cr_assert(vms.is_settled());
    cr_assert_eq(vms.count_reports(report_kind::member_joined, {}), 18);
}

Test(membership, vm_without_seeds_is_fresh_at_once_and_found_by_hint)
{
    fleet vms(fleet_size, domain_count);
    vms.start(vm(10), {}, incarnation(1));
    cr_assert(vms.at(vm(10)).is_view_fresh(vms.now()));
    effect_list effects;
    vms.at(vm(10)).hint(vms.now(), std::vector{vm(3), vm(77)}, effects);
    vms.carry(vm(10), effects);
    vms.run_for(detection_bound);
    cr_assert(vms.is_settled());
    cr_assert_null(vms.at(vm(10)).find(vm(77)));
}

Test(membership, planned_leave_spreads_without_alarm)
{
    // Symptom: a planned stop pages the operators. Sequence: a VM announces
    // its leave, goes on answering, then exits. Cause: its silence is taken
    // for a crash.
    fleet vms(fleet_size, domain_count);
    effect_list effects;
    vms.at(vm(5)).announce_leave(vms.now(), effects);
    vms.carry(vm(5), effects);
    vms.run_for(20s);
    for (std::uint32_t number = 1; number <= fleet_size; ++number)
    {
        cr_assert_eq(vms.status(vm(number), vm(5)), member_status::leaving);
        cr_assert(vms.at(vm(number)).is_reachable(vm(5)));
    }
    vms.kill(vm(5));
    vms.run_for(detection_bound);
    cr_assert(vms.is_settled());
    cr_assert_eq(alarms(vms, {}), 0);
    cr_assert_eq(vms.count_reports(report_kind::member_suspected, {}), 0);
    cr_assert_eq(vms.count_reports(report_kind::member_left, {}), 8);
}

Test(membership, restart_with_higher_incarnation_is_alive_again)
{
    // Symptom: a restarted VM gets no traffic. Sequence: a VM dies, is found
    // dead or not yet, and starts again. Cause: the claim of its death.
    for (duration const down : {duration(1s), duration(20s)})
    {
        fleet vms(fleet_size, domain_count);
        vms.kill(vm(5));
        vms.run_for(down);
        vms.start(vm(5), {vm(1)}, incarnation(1'000));
        vms.run_for(detection_bound);
        cr_assert(vms.is_settled());
        cr_assert_geq(vms.at(vm(2)).find(vm(5))->life, incarnation(1'000));
    }
}

Test(membership, old_claims_change_nothing)
{
    // Symptom: a VM dies or comes back without cause. Sequence: a claim of an
    // earlier life arrives late. Cause: claims are taken in order of arrival.
    struct old_claim
    {
        member_status held;
        member_status claimed;
        std::uint64_t lives_before;
    };
    for (auto const& [held, claimed, lives_before] :
         {old_claim{member_status::alive, member_status::dead, 1},
          old_claim{member_status::alive, member_status::suspect, 1},
          old_claim{member_status::dead, member_status::alive, 0},
          old_claim{member_status::dead, member_status::leaving, 0},
          old_claim{member_status::leaving, member_status::alive, 0}})
    {
        fleet vms(3, 1);
        member_update claim{vm(9), failure_domain_id(0), incarnation(5), held};
        vms.deliver(vm(1), {vm(2), ping{1, 0, {claim}}});
        claim.status = claimed;
        claim.life = incarnation(5 - lives_before);
        vms.deliver(vm(1), {vm(2), ping{2, 0, {claim}}});
        cr_assert_eq(vms.status(vm(1), vm(9)), held);
    }
}

Test(membership, hint_of_a_dead_vm_declares_nothing)
{
    // Symptom: a dead VM owns flows. Sequence: the platform's list still
    // names it, or names one that never lived. Cause: the list lags.
    fleet vms(fleet_size, domain_count);
    vms.kill(vm(5));
    vms.run_for(detection_bound);
    effect_list effects;
    vms.at(vm(1)).hint(vms.now(), std::vector{vm(5), vm(77)}, effects);
    cr_assert_eq(effects.size(), 1, "only the unknown address gets a ping");
    vms.carry(vm(1), effects);
    vms.run_for(detection_bound);
    cr_assert(vms.is_settled());
    cr_assert_null(vms.at(vm(1)).find(vm(77)));
}

Test(membership, loss_and_duplication_leave_no_healthy_vm_dead)
{
    // Symptom: healthy VMs come and go. Sequence: a fifth of all messages is
    // lost, a fifth comes twice; one VM dies. Cause: a lost packet is taken
    // for a lost VM.
    fleet vms(fleet_size, domain_count);
    vms.faults.loss_percent = 20;
    vms.faults.duplication_percent = 20;
    vms.run_for(5min);
    cr_assert_eq(alarms(vms, {}), 0);
    vms.kill(vm(5));
    vms.run_for(2 * detection_bound);
    cr_assert_eq(vms.status(vm(1), vm(5)), member_status::dead);
    vms.faults = {};
    vms.run_for(detection_bound);
    cr_assert(vms.is_settled());
}

Test(membership, load_per_vm_does_not_grow_with_the_fleet)
{
    // Symptom: control traffic exceeds its budget in a large fleet. Sequence:
    // the fleet grows. Cause: each VM talks to all others.
    auto const load_of = [](std::uint32_t count)
    {
        fleet vms(count, domain_count);
        // Until the claims of the first joins have had their transmissions.
        vms.run_for(5min);
        vms.forget_traffic();
        vms.run_for(60s);
        traffic most;
        for (std::uint32_t number = 1; number <= count; ++number)
        {
            traffic const sent = vms.sent_by(vm(number));
            most.messages = std::max(most.messages, sent.messages);
            most.bytes = std::max(most.bytes, sent.bytes);
        }
        return most;
    };
    traffic const small = load_of(8);
    traffic const large = load_of(64);
    cr_assert_leq(large.messages, small.messages * 5 / 4);
    cr_assert_leq(large.bytes, small.bytes * 5 / 4);
}
