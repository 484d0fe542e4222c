#include <versions/reader_election.hpp>

#include <versions/peer_selection.hpp>

#include <algorithm>
#include <criterion/criterion.h>
#include <vector>

using namespace cairnhead;
using namespace std::chrono_literals;

namespace
{

constexpr failure_domain_id domain(1);
constexpr duration patience = 1200ms;

/// The VMs of a failure domain sorted by rank, the first reader first.
std::vector<vm_id> make_ranked_vms(std::uint32_t count)
{
    std::vector<vm_id> vms;
    for (std::uint32_t vm = 1; vm <= count; ++vm)
        vms.emplace_back(vm);
    std::ranges::sort(
        vms,
        [](vm_id first, vm_id second)
        {
            return reader_rank(domain, first)
                .is_above(reader_rank(domain, second));
        });
    return vms;
}

reader_election
make_election(std::vector<vm_id> const& vms, std::size_t rank, time_point now)
{
    version_settings settings;
    settings.readers_per_domain = 2;
    settings.reader_patience = patience;
    reader_election election(settings, {vms[rank], domain});
    std::vector<document_peer> peers;
    for (vm_id const vm : vms)
    {
        if (vm != vms[rank])
            peers.push_back({vm, domain});
    }
    election.set_peers(now, peers);
    return election;
}

} // namespace

Test(reader_election, candidates_start_to_read_one_after_the_other)
{
    auto const vms = make_ranked_vms(40);
    time_point const start{1h};
    duration previous_start{};
    for (std::size_t rank = 2; rank < 18; ++rank)
    {
        auto vm = make_election(vms, rank, start);
        vm.receive_heartbeat(start, vms[0]);
        duration starts_after{};
        while (!vm.is_reading(start + starts_after))
            starts_after += 10ms;
        cr_expect_geq(starts_after, patience);
        cr_expect_leq(starts_after, patience + 1s);
        cr_expect(rank == 2 || starts_after > previous_start);
        previous_start = starts_after;
    }
    cr_expect_not(make_election(vms, 18, start).is_reading(start + 1h));
    cr_expect(make_election(vms, 1, start).is_elected());
}

// Symptom: a start of all VMs, or a rolling restart, costs as many complete
// reads of the platform as there are VMs. Sequence: a VM starts and knows no
// other VM of its failure domain, or gets the highest rank there. Cause: it
// considers itself elected at once, while another VM reads.
Test(reader_election, the_first_vm_waits_for_a_heartbeat_of_the_reader)
{
    auto const vms = make_ranked_vms(10);
    time_point const start{1h};
    auto silent = make_election(vms, 0, start);
    cr_expect_not(silent.is_reading(start));
    // The reader may not know this VM yet.
    cr_expect_not(silent.is_reading(start + patience * 2 - 1ms));
    cr_expect(silent.is_reading(start + patience * 2), "no VM reads");

    auto informed = make_election(vms, 0, start);
    informed.receive_heartbeat(start + 300ms, vms[6]);
    cr_expect(
        informed.is_reading(start + 300ms), "it takes over from the reader");
    informed.receive_heartbeat(start + 400ms, vms[6]);
    cr_expect(informed.is_reading(start + 400ms));
}

// Symptom: changes reach a failure domain late or never. Sequence: one VM of it
// is left, and VMs of other domains join and leave. Cause: each change of
// members postpones the time at which it reads.
Test(reader_election, the_only_vm_of_its_domain_reads_soon)
{
    time_point const start{1h};
    version_settings settings;
    settings.reader_patience = patience;
    reader_election alone(settings, {vm_id(1), domain});
    for (duration passed{}; passed < patience * 2; passed += 100ms)
    {
        alone.set_peers(start + passed, {});
        cr_expect_not(alone.is_reading(start + passed));
    }
    cr_expect(alone.is_reading(start + patience * 2));
}

// Symptom: no VM sees the changes of one second. Sequence: a VM joins that is
// elected as reader. Cause: the current reader stops before the new one has
// started.
Test(reader_election, a_reader_continues_until_the_next_reader_sends)
{
    auto const vms = make_ranked_vms(10);
    std::vector<vm_id> const earlier_vms(vms.begin() + 2, vms.end());
    time_point const start{1h};
    auto reader = make_election(earlier_vms, 0, start);
    reader.begin();
    cr_assert_not(reader.answered(start + 2s).empty());
    std::vector<document_peer> peers;
    for (vm_id const vm : vms)
    {
        if (vm != earlier_vms[0])
            peers.push_back({vm, domain});
    }
    reader.set_peers(start + 3s, peers);
    cr_expect_not(reader.is_elected());
    cr_expect(reader.is_reading(start + 3s));
    auto const listeners = reader.answered(start + 3s);
    cr_expect(std::ranges::find(listeners, vms[0]) != listeners.end());
    reader.receive_heartbeat(start + 4s, vms[0]);
    cr_expect_not(reader.is_reading(start + 4s));
}

// Symptom: a failure domain whose first VM has joined and has documents lacks a
// reader for a second. Cause: a VM that read to join stops as soon as it has
// joined.
Test(reader_election, a_vm_that_read_to_join_continues_to_read)
{
    auto const vms = make_ranked_vms(10);
    time_point const start{1h};
    auto vm = make_election(vms, 5, start);
    vm.begin();
    cr_expect(vm.is_reading(start));
    cr_expect_not(vm.answered(start).empty());
    vm.receive_heartbeat(start + 1s, vms[8]);
    cr_expect(vm.is_reading(start + 1s));
    vm.receive_heartbeat(start + 1s, vms[0]);
    cr_expect_not(vm.is_reading(start + 1s));
}

Test(reader_election, every_candidate_receives_heartbeats_of_every_reader)
{
    // Symptom: one VM more than elected reads for ever. Sequence: a fleet runs
    // without a fault. Cause: readers send heartbeats to fewer VMs than may
    // take over.
    auto const vms = make_ranked_vms(40);
    time_point const now{1h};
    for (std::size_t rank = 0; rank < 18; ++rank)
    {
        auto reader = make_election(vms, rank, now);
        auto const recipients = reader.answered(now + 10s);
        for (std::size_t other = 0; other < 18; ++other)
        {
            bool const is_recipient =
                std::ranges::find(recipients, vms[other]) != recipients.end();
            cr_expect_eq(is_recipient, other != rank);
        }
    }
}

Test(reader_election, a_substitute_stops_when_a_higher_rank_reads)
{
    auto const vms = make_ranked_vms(10);
    time_point const start{1h};
    auto vm = make_election(vms, 4, start);
    time_point const now = start + 10s;
    cr_assert(vm.is_reading(now));
    cr_assert_not(vm.answered(now).empty());
    // A VM with a lower rank started to read at the same time, and will receive
    // a heartbeat of this one.
    vm.receive_heartbeat(now, vms[7]);
    cr_expect(vm.is_reading(now));
    vm.receive_heartbeat(now, vms[3]);
    cr_expect_not(vm.is_reading(now));
    cr_expect(vm.is_reading(now + patience + 1s));
}

// Guards against an elected VM that continues to call a platform that refuses
// it, while the platform serves another VM.
Test(reader_election, a_vm_that_the_platform_refuses_lets_others_read)
{
    auto const vms = make_ranked_vms(10);
    time_point const start{1h};
    time_point const now = start + 10s;
    auto first = make_election(vms, 0, start);
    first.failed(now);
    first.receive_heartbeat(now + 1s, vms[3]);
    cr_expect_not(first.is_reading(now + 1s));
    first.receive_heartbeat(now + 5s, vms[3]);
    cr_expect(first.is_reading(now + 5s), "it retries");
}

/// When the VMs of a failure domain call a platform that answers no VM. Their
/// calls fail after `hang`.
std::vector<duration>
call_unresponsive_platform(std::uint32_t count, duration hang)
{
    auto const vms = make_ranked_vms(count);
    time_point const start{1h};
    std::vector<reader_election> all;
    std::vector<time_point> ends(count, time_point::max());
    for (std::size_t rank = 0; rank < vms.size(); ++rank)
    {
        all.push_back(make_election(vms, rank, start));
        if (rank > 0)
            all.back().receive_heartbeat(start, vms[0]);
    }
    all[0].begin();
    (void)all[0].answered(start);
    std::vector<duration> called_at;
    for (duration at{}; at < 30s; at += 10ms)
    {
        for (std::size_t rank = 0; rank < all.size(); ++rank)
        {
            if (start + at >= ends[rank])
            {
                ends[rank] = time_point::max();
                all[rank].failed(start + at);
            }
            auto const turn = all[rank].take_turn(start + at);
            if (!turn)
                continue;
            for (vm_id const recipient : turn->announced_to)
            {
                auto const place =
                    std::ranges::find(vms, recipient) - vms.begin();
                all[static_cast<std::size_t>(place)].receive_attempt(
                    start + at, vms[rank]);
            }
            called_at.push_back(at);
            ends[rank] = start + at + hang;
        }
    }
    return called_at;
}

// Guards against VMs that synchronise while the platform answers no VM: all
// calls fail at once, all VMs pause, and none calls when the platform has
// recovered.
Test(reader_election, a_recovered_platform_is_called_soon)
{
    for (std::uint32_t const count : {1U, 2U, 3U, 6U, 21U, 84U, 400U})
    {
        for (duration const hang : {5ms, 300ms, 1000ms, 2500ms})
        {
            auto const called_at = call_unresponsive_platform(count, hang);
            cr_assert_not(called_at.empty());
            cr_expect_leq(called_at.front(), patience + 100ms);
            duration longest_gap{};
            for (std::size_t call = 1; call < called_at.size(); ++call)
                longest_gap = std::max(
                    longest_gap, called_at[call] - called_at[call - 1]);
            cr_expect_leq(
                longest_gap, 510ms, "%u VMs: %ld ms", count,
                static_cast<long>(longest_gap / 1ms));
            // One quick search, and two calls a second after the search.
            cr_expect_leq(
                called_at.size(), 18 + 2 * 29, "%u VMs: %zu calls", count,
                called_at.size());
        }
    }
}

// Guards against a VM that is answered in its turn and considered to be only
// catching up: it would send no heartbeat.
Test(reader_election, an_answer_after_a_turn_makes_the_vm_a_reader)
{
    auto const vms = make_ranked_vms(10);
    time_point const start{1h};
    auto vm = make_election(vms, 4, start);
    vm.receive_heartbeat(start, vms[0]);
    duration at{};
    while (!vm.take_turn(start + at))
        at += 10ms;
    cr_expect(vm.is_reading(start + at + 200ms));
    cr_expect_not(vm.answered(start + at + 200ms).empty());
    cr_expect(vm.is_reading(start + at + 1s));
}

Test(reader_election, no_vm_takes_over_without_a_patience)
{
    auto const vms = make_ranked_vms(10);
    version_settings settings;
    reader_election vm(settings, {vms[5], domain});
    std::vector<document_peer> const peers{{vms[0], domain}, {vms[1], domain}};
    vm.set_peers(time_point(), peers);
    cr_expect_not(vm.is_reading(time_point() + 1h));
    cr_expect(vm.answered(time_point() + 1h).empty());
}
