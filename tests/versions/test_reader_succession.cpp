#include <versions/reader_succession.hpp>

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

/// The VMs of a failure domain in the order in which they come to read.
std::vector<vm_id> ranked(std::uint32_t count)
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

reader_succession
make(std::vector<vm_id> const& vms, std::size_t rank, time_point now)
{
    version_settings settings;
    settings.readers_per_domain = 2;
    settings.reader_patience = patience;
    reader_succession made(settings, {vms[rank], domain});
    std::vector<document_peer> peers;
    for (vm_id const vm : vms)
    {
        if (vm != vms[rank])
            peers.push_back({vm, domain});
    }
    made.set_peers(now, peers);
    return made;
}

} // namespace

Test(reader_succession, successors_begin_one_after_the_other)
{
    auto const vms = ranked(40);
    time_point const start{1h};
    duration last{};
    for (std::size_t rank = 2; rank < 18; ++rank)
    {
        auto const vm = make(vms, rank, start);
        duration begins{};
        while (!vm.is_successor(start + begins))
            begins += 10ms;
        cr_expect_geq(begins, patience);
        cr_expect_leq(begins, patience + 1s);
        cr_expect(rank == 2 || begins > last);
        last = begins;
    }
    cr_expect_not(make(vms, 18, start).is_successor(start + 1h));
    cr_expect(make(vms, 1, start).is_elected());
    cr_expect_not(make(vms, 1, start).is_successor(start + 1h));
}

Test(reader_succession, whoever_may_read_hears_of_every_reader)
{
    // Symptom: a VM more than elected reads for ever. Sequence: a fleet runs
    // without a fault. Cause: readers that tell fewer VMs than may succeed
    // them.
    auto const vms = ranked(40);
    time_point const now{1h};
    for (std::size_t rank = 0; rank < 18; ++rank)
    {
        auto reader = make(vms, rank, now);
        auto const told = reader.answered(now + 10s);
        for (std::size_t other = 0; other < 18; ++other)
        {
            bool const is_told =
                std::ranges::find(told, vms[other]) != told.end();
            cr_expect_eq(is_told, other != rank);
        }
    }
}

Test(reader_succession, a_successor_ends_when_one_ahead_of_it_reads)
{
    auto const vms = ranked(10);
    time_point const start{1h};
    auto vm = make(vms, 4, start);
    time_point const now = start + 10s;
    cr_assert(vm.is_successor(now));
    cr_assert_not(vm.answered(now).empty());
    // One behind it began at the same time, and will hear of this one.
    vm.heard(now, vms[7]);
    cr_expect(vm.is_successor(now));
    vm.heard(now, vms[3]);
    cr_expect_not(vm.is_successor(now));
    cr_expect(vm.is_successor(now + patience + 1s));
}

Test(reader_succession, one_that_is_turned_away_too_leaves_it_to_others)
{
    auto const vms = ranked(10);
    time_point const start{1h};
    auto vm = make(vms, 2, start);
    time_point const now = start + 10s;
    cr_assert(vm.is_successor(now));
    vm.failed(now);
    cr_expect_not(vm.is_successor(now + 1900ms));
    cr_expect(vm.is_successor(now + 2s));
}

Test(reader_succession, nobody_succeeds_without_a_patience)
{
    auto const vms = ranked(10);
    version_settings settings;
    reader_succession vm(settings, {vms[5], domain});
    std::vector<document_peer> const peers{{vms[0], domain}, {vms[1], domain}};
    vm.set_peers(time_point(), peers);
    cr_expect_not(vm.is_successor(time_point() + 1h));
    cr_expect(vm.answered(time_point() + 1h).empty());
}
