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

/// A probe of a dead or forgotten VM and one exchange of listings.
constexpr duration healing_bound = 4s;

/// One failure domain is cut off from the two others.
bool is_between_domains(vm_id sender, vm_id receiver)
{
    failure_domain_id const cut_off(0);
    return (domain_of(sender, domain_count) == cut_off) !=
           (domain_of(receiver, domain_count) == cut_off);
}

bool is_to_or_from_first(vm_id sender, vm_id receiver)
{
    return sender == vm(1) || receiver == vm(1);
}

/// A VM hears a claim against another one's present incarnation.
void accuse(fleet& vms, vm_id hearer, vm_id accused, member_status status)
{
    member_update claim = make_claim(*vms.at(hearer).find(accused));
    claim.status = status;
    vms.deliver(hearer, {vm(3), ping{1, 0, {claim}}});
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
    vms.run_for(11min);
    cr_assert_null(vms.at(vm(1)).find(vm(5)), "the dead are forgotten");
}

Test(membership, late_waker_declares_nobody_dead)
{
    // Symptom: healthy VMs are reported dead after a pause. Sequence: a VM
    // suspects a peer, pauses beyond the timeout, wakes and reads nothing for
    // one tick. Cause: the deadline passed while it could read no answer.
    for (waking const how : {waking::expires_view, waking::unnoticed})
    {
        fleet vms(fleet_size, domain_count);
        vms.faults.is_cut = is_to_or_from_first;
        accuse(vms, vm(1), vm(2), member_status::suspect);
        cr_assert_eq(vms.status(vm(1), vm(2)), member_status::suspect);
        vms.pause(vm(1));
        vms.run_for(20s);
        time_point const woken = vms.now();
        vms.wake(vm(1), how);
        vms.run_for(tick_period);
        cr_assert_eq(vms.status(vm(1), vm(2)), member_status::alive);
        vms.faults.is_cut = {};
        vms.run_for(detection_bound);
        cr_assert_eq(alarms(vms, woken), 0);
        cr_assert_eq(
            vms.count_reports(report_kind::member_suspected, woken), 0);
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
    vms.faults.is_cut = is_to_or_from_first;
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
    struct partition
    {
        std::uint32_t vms;
        duration length;
    };
    for (auto const& [count, length] :
         {partition{fleet_size, 20s}, partition{fleet_size, 11min},
          partition{64, 2min}})
    {
        fleet vms(count, domain_count);
        vms.faults.is_cut = is_between_domains;
        vms.run_for(length);
        cr_assert_not(vms.at(vm(1)).is_domain_reachable(failure_domain_id(0)));
        cr_assert(vms.at(vm(1)).is_domain_reachable(failure_domain_id(2)));
        cr_assert(vms.at(vm(3)).is_domain_reachable(failure_domain_id(0)));
        cr_assert(vms.at(vm(3)).is_view_fresh(vms.now()));
        time_point const healed = vms.now();
        vms.faults.is_cut = {};
        vms.run_for(healing_bound);
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
    // An answer to a ping tells of few members: too little to place flows by.
    std::uint32_t const sequence = ping_sequence(vms, vm(10));
    vms.deliver(vm(10), {vm(78), ping_answer{sequence, vm(78), 0, {}}});
    cr_assert_not(vms.at(vm(10)).is_view_fresh(vms.now()));
    vms.faults.is_cut = {};
    vms.run_for(1s);
    cr_assert(vms.at(vm(10)).is_view_fresh(vms.now()));
    cr_assert_eq(vms.at(vm(10)).members().size(), fleet_size + 1);
    vms.run_for(detection_bound);
    cr_assert(vms.is_settled());
    // Each of the nine tells of the joiner; it tells of them in one line.
    cr_assert_eq(vms.count_reports(report_kind::member_joined, {}), 9);
    cr_assert_eq(vms.count_reports(report_kind::members_listed, {}), 1);
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
    // The last case breaks the promise of a higher incarnation: the clock
    // that gives it was set back.
    struct restart
    {
        duration down;
        std::uint64_t life;
    };
    for (auto const& [down, life] :
         {restart{1s, 1'000}, restart{20s, 1'000}, restart{20s, 0}})
    {
        fleet vms(fleet_size, domain_count);
        vms.kill(vm(5));
        vms.run_for(down);
        vms.start(vm(5), {vm(1)}, incarnation(life));
        vms.run_for(detection_bound);
        cr_assert(vms.is_settled());
        cr_assert_geq(vms.at(vm(2)).find(vm(5))->life, incarnation(life));
    }
}

Test(membership, a_probe_of_an_earlier_life_suspects_nobody)
{
    // Symptom: VMs that are told to stop one after the other leave together.
    // Sequence: a VM is back, and its neighbours take it for suspect for half a
    // second; meanwhile those that wait for it run out of time. Cause: a probe
    // that began before its restart ends without an answer.
    for (duration down = 100ms; down < 3s; down += 10ms)
    {
        fleet vms(2, 1);
        vms.kill(vm(2));
        vms.run_for(down);
        // Its first question goes to the other one, which then knows of it.
        vms.start(vm(2), {vm(1)}, incarnation(1'000));
        time_point const heard_at = vms.now();
        vms.run_for(3s);
        cr_expect_eq(
            vms.count_reports(report_kind::member_suspected, heard_at + 1ms), 0,
            "down for %ld ms", static_cast<long>(down / 1ms));
    }
}

Test(membership, leaving_vm_that_is_declared_dead_refutes)
{
    // Symptom: a planned leave is cut short. Sequence: a leaving VM still
    // hands over when a claim of its death spreads. Cause: lost packets.
    fleet vms(fleet_size, domain_count);
    effect_list effects;
    vms.at(vm(5)).announce_leave(vms.now(), effects);
    vms.carry(vm(5), effects);
    vms.run_for(detection_bound);
    accuse(vms, vm(1), vm(5), member_status::dead);
    vms.run_for(detection_bound);
    cr_assert_eq(vms.status(vm(1), vm(5)), member_status::leaving);
    cr_assert_eq(vms.status(vm(9), vm(5)), member_status::leaving);
}

Test(membership, sender_of_any_message_is_alive_but_the_dead_must_refute)
{
    // Symptom: a VM that talks stays suspect, or a dead one comes back for
    // one VM only. Sequence: a packet arrives from it. Cause: evidence of
    // life without an incarnation overrides nothing elsewhere.
    struct hearing
    {
        member_status before;
        member_status after;
    };
    using enum member_status;
    for (auto const& [before, after] :
         {hearing{suspect, alive}, hearing{leaving, leaving},
          hearing{dead, dead}})
    {
        fleet vms(3, 1);
        accuse(vms, vm(1), vm(2), before);
        vms.at(vm(1)).heard_from(vms.now(), vm(2));
        cr_assert_eq(vms.status(vm(1), vm(2)), after);
        vms.run_for(tick_period);
        cr_assert(is_live_status(vms.status(vm(1), vm(2))));
        vms.run_for(1s);
        cr_assert(vms.is_settled(), "it refuted a claim that was false");
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

Test(membership, long_lists_make_no_bursts)
{
    // Symptom: control traffic exceeds its budget for a while. Sequence: the
    // platform lists many unknown VMs, many VMs join at once, a joiner asks
    // for all of them. Cause: everything is sent at once or in one message.
    fleet vms(3, 1);
    std::vector<vm_id> listed;
    ping news;
    for (std::uint32_t number = 1'000; number < 1'100; ++number)
    {
        listed.push_back(vm(number));
        news.updates.push_back({vm(number), {}, {}, member_status::alive});
    }
    effect_list effects;
    vms.at(vm(1)).hint(vms.now(), listed, effects);
    cr_assert_leq(effects.size(), 8);
    effects.clear();
    vms.at(vm(1)).receive(vms.now(), vm(2), news, 0, effects);
    auto const& answer = std::get<send_control>(effects.back());
    cr_assert_eq(std::get<ping_answer>(answer.body).updates.size(), 8);
    effects.clear();
    member_update const joiner{vm(2'000), {}, {}, member_status::alive};
    vms.at(vm(1)).receive(
        vms.now(), joiner.vm, member_listing{listing_kind::request, {joiner}},
        effects);
    std::size_t listed_members = 0;
    for (effect const& each : effects)
    {
        if (std::holds_alternative<report>(each))
            continue;
        auto const& body = std::get<send_control>(each).body;
        auto const& members = std::get<member_listing>(body).members;
        cr_assert_leq(members.size(), 40);
        listed_members += members.size();
    }
    cr_assert_eq(listed_members, 104);
}

Test(membership, death_of_an_unknown_vm_does_not_spread)
{
    // Symptom: a dead VM is remembered for ever. Sequence: VMs forget it at
    // different times and tell each other again. Cause: old news looks new.
    fleet vms(3, 1);
    member_update const claim{
        vm(9), failure_domain_id(0), incarnation(5), member_status::dead};
    vms.deliver(vm(1), {vm(2), ping{1, 0, {claim}}});
    vms.run_for(detection_bound);
    cr_assert_not_null(vms.at(vm(1)).find(vm(9)));
    cr_assert_null(vms.at(vm(3)).find(vm(9)));
}

Test(membership, late_waker_asks_its_own_failure_domain_first)
{
    // Symptom: a VM that wakes in a partition takes itself to be alone.
    // Sequence: it asks few peers before it gives up. Cause: all of them are
    // on the other side.
    fleet vms(30, domain_count);
    vms.pause(vm(3));
    vms.run_for(1s);
    vms.faults.is_cut = is_between_domains;
    vms.run_for(1s);
    vms.wake(vm(3), waking::expires_view);
    cr_assert(vms.at(vm(3)).is_view_fresh(vms.now()));
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
    cr_assert_leq(vms.count_reports(report_kind::member_suspected, {}), 100);
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
