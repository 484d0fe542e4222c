#include <versions/joiner_line.hpp>
#include <versions/joining.hpp>

#include <criterion/criterion.h>
#include <map>
#include <set>
#include <vector>

using namespace cairnhead;
using namespace std::chrono_literals;

namespace
{

constexpr failure_domain_id here(1);
constexpr failure_domain_id abroad(2);
constexpr vm_identity self{vm_id(1), here};
constexpr time_point start{1h};

version_settings make_settings()
{
    version_settings settings;
    settings.reader_patience = 1200ms;
    return settings;
}

joiner_line make_line()
{
    return {make_settings(), self, 7};
}

/// A VM that has joined.
document_peer member(std::uint32_t id, failure_domain_id domain)
{
    return {vm_id(id), domain};
}

} // namespace

Test(joiner_line, names_members_of_the_joiners_domain)
{
    auto line = make_line();
    std::vector<document_peer> const peers{
        member(10, here), member(20, abroad), member(21, abroad),
        member(22, abroad)};
    std::set<vm_id> named;
    for (std::uint32_t joiner = 100; joiner < 140; ++joiner)
    {
        auto const referral = line.ask(
            start, vm_id(joiner), {abroad, false, false, 0}, {peers, true});
        cr_assert(referral);
        cr_expect_not(referral->is_to_read);
        cr_expect_eq(referral->holders.size(), 2);
        named.insert(referral->holders.begin(), referral->holders.end());
    }
    std::set<vm_id> const all{vm_id(20), vm_id(21), vm_id(22)};
    cr_expect(named == all);
    cr_expect(line.take_due(start).empty(), "nobody was told to wait here");
}

Test(joiner_line, serves_who_was_sent_here_a_few_at_a_time)
{
    auto line = make_line();
    std::size_t sent_on = 0;
    for (std::uint32_t joiner = 100; joiner < 120; ++joiner)
    {
        auto const referral =
            line.ask(start, vm_id(joiner), {here, false, true, 0}, {{}, true});
        if (!referral)
            continue;
        ++sent_on;
        for (vm_id const holder : referral->holders)
            cr_expect_lt(holder.value(), 108U, "those of the line");
    }
    cr_expect_eq(sent_on, 12);
    cr_expect_eq(line.take_due(start).size(), 4);
    cr_expect(line.take_due(start + 50ms).empty());
    cr_expect_eq(line.take_due(start + 100ms).size(), 4);
    cr_expect(line.take_due(start + 200ms).empty());
}

Test(joiner_line, who_asks_again_is_served_by_who_was_asked)
{
    // Symptom: a joiner is sent around for seconds. Sequence: most VMs of its
    // failure domain lost power a moment ago, and nobody has missed them yet.
    // Cause: it is sent to members that are not there, time and again.
    auto line = make_line();
    std::vector<document_peer> const gone{member(20, abroad)};
    cr_expect(
        line.ask(start, vm_id(100), {abroad, false, false, 0}, {gone, true}));
    cr_expect_not(
        line.ask(start, vm_id(100), {abroad, false, false, 1}, {gone, true}));
    cr_expect(line.take_due(start) == std::vector{vm_id(100)});
}

Test(joiner_line, the_first_of_an_unknown_domain_reads_the_platform)
{
    auto line = make_line();
    auto const first =
        line.ask(start, vm_id(100), {abroad, false, false, 0}, {{}, false});
    cr_assert(first);
    cr_expect(first->is_to_read);
    // It waits here as well: whichever comes sooner.
    cr_expect(line.take_due(start) == std::vector{vm_id(100)});
    // With the documents here it need not read.
    auto informed = make_line();
    cr_expect_not(
        informed.ask(start, vm_id(100), {abroad, false, false, 0}, {{}, true}));
}

// Symptom: after a start of all the VMs that all ask serve everybody. Sequence:
// three hundred, or two thousand, joiners of one failure domain ask one VM.
// Cause: who is asked serves.
Test(joiner_line, a_start_of_all_makes_a_tree)
{
    for (std::uint32_t const joiners : {50U, 300U, 2'200U})
    {
        for (failure_domain_id const domain : {here, abroad})
        {
            auto line = make_line();
            std::map<vm_id, std::size_t> children;
            std::map<vm_id, std::size_t> depth;
            std::size_t waiting_here = 0;
            for (std::uint32_t joiner = 0; joiner < joiners; ++joiner)
            {
                vm_id const vm(1'000 + joiner);
                auto const referral =
                    line.ask(start, vm, {domain, false, false, 0}, {{}, false});
                bool const is_sent = referral && !referral->is_to_read;
                if (!is_sent)
                {
                    ++waiting_here;
                    depth[vm] = 1;
                    continue;
                }
                cr_assert_eq(referral->holders.size(), 1);
                vm_id const parent = referral->holders.front();
                cr_assert(depth.contains(parent), "it came before");
                depth[vm] = depth[parent] + 1;
                cr_expect_leq(++children[parent], 4);
            }
            cr_expect_eq(waiting_here, domain == here ? 4 : 1);
            // Four to the power of seven are more than all.
            for (auto const& [vm, steps] : depth)
                cr_expect_leq(steps, 7);
        }
    }
}

Test(joiner_line, a_flood_of_requests_is_bounded)
{
    auto line = make_line();
    for (std::uint32_t joiner = 0; joiner < 20'000; ++joiner)
        (void)line.ask(
            start, vm_id(1'000 + joiner),
            {abroad, false, joiner % 2 == 0, joiner % 3}, {{}, false});
    std::size_t served = 0;
    for (int turn = 0; turn < 100; ++turn)
        served += line.take_due(start + turn * 100ms).size();
    cr_expect_eq(served, 8);
}

// Symptom: after a loss of all VMs callers wait until the seeds have read the
// platform. Sequence: the seeds are the last to start; a few others have read
// it meanwhile, and nobody knows. Cause: only those that ask first are asked.
Test(joiner_line, those_that_read_before_are_named)
{
    auto line = make_line();
    line.note_holder(start, vm_id(50), abroad);
    line.note_holder(start, vm_id(51), abroad);
    line.note_holder(start, vm_id(60), here);
    std::map<vm_id, int> named;
    for (std::uint32_t joiner = 100; joiner < 110; ++joiner)
    {
        auto const referral = line.ask(
            start, vm_id(joiner), {abroad, false, false, 0}, {{}, false});
        cr_assert(referral);
        cr_expect_not(referral->is_to_read);
        for (vm_id const holder : referral->holders)
            ++named[holder];
    }
    cr_expect_eq(named[vm_id(50)], 10);
    cr_expect_eq(named[vm_id(51)], 10);
    auto const later = line.ask(
        start + 10s, vm_id(200), {abroad, false, false, 0}, {{}, false});
    cr_expect(later && later->is_to_read, "that was long ago");
}

Test(joining, asks_soon_until_it_hears_and_then_gives_time)
{
    version_random random(1);
    joining vm(self);
    vm.begin(start, false, random);
    cr_expect(vm.take_due(start));
    cr_expect_eq(vm.peers_to_ask(), 2);
    cr_expect_not(vm.take_due(start + 50ms));
    cr_expect(vm.take_due(start + 100ms), "nobody answered");
    cr_expect_eq(vm.peers_to_ask(), 3);
    cr_expect_eq(vm.request().attempt, 0);
    auto const named = vm.follow(
        start + 110ms, {{vm_id(5), vm_id(6), self.id}, false}, random);
    std::vector<vm_id> const others{vm_id(5), vm_id(6)};
    cr_expect(named == others, "not itself");
    cr_expect(
        vm.follow(start + 120ms, {{vm_id(6)}, false}, random).empty(),
        "asked already");
    cr_expect_not(vm.take_due(start + 500ms));
    cr_expect(vm.take_due(start + 1s), "nobody served it");
    cr_expect_eq(vm.peers_to_ask(), 2);
    cr_expect_eq(vm.request().attempt, 1);
    cr_expect_eq(
        vm.follow(start + 1s, {{vm_id(6)}, false}, random).size(), 1,
        "it may be there by now");
}

Test(joining, reads_when_it_is_told_to_or_hears_from_nobody)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        version_random random(seed);
        joining unstarted(self);
        cr_expect_not(unstarted.reads_on(start), "who has not begun reads");
        joining silent(self);
        silent.begin(start, false, random);
        cr_expect(
            silent.choose_access(start + 1600ms) == platform_access::reading);

        joining told(self);
        told.begin(start, false, random);
        (void)told.follow(start + 5ms, {{}, true}, random);
        cr_expect(told.choose_access(start + 5ms) == platform_access::reading);

        joining referred(self);
        referred.begin(start, false, random);
        bool const is_early =
            referred.choose_access(start) == platform_access::reading;
        (void)referred.follow(start + 5ms, {{vm_id(5)}, false}, random);
        cr_expect(
            is_early ||
            referred.choose_access(start + 1500ms) != platform_access::reading);
        cr_expect(
            referred.choose_access(start + 3100ms) == platform_access::reading);

        joining seed_vm(self);
        seed_vm.begin(start, true, random);
        cr_expect(seed_vm.choose_access(start) == platform_access::reading);
    }
}

// Symptom: a start of all is as many complete reads as there are VMs, or all
// wait until the seeds have read. Sequence: the VMs that all ask are the last
// to start. Cause: each VM reads by itself soon, or none before it was told to.
Test(joining, few_read_a_long_registry_and_those_at_once)
{
    version_random random(11);
    int early = 0;
    for (int vm = 0; vm < 2'200; ++vm)
    {
        joining each(self);
        each.begin(start, false, random);
        bool const is_early =
            each.choose_access(start) == platform_access::reading;
        each.found_long();
        auto const then = each.choose_access(start + 700ms);
        cr_expect(
            then ==
            (is_early ? platform_access::reading : platform_access::none));
        early += is_early ? 1 : 0;
    }
    cr_expect_gt(early, 60);
    cr_expect_lt(early, 160);
}

// Symptom: after a loss of all VMs of a small deployment callers wait for peers
// that have to read the platform first. Cause: a rule for long registries.
Test(joining, a_registry_of_one_page_is_read_at_once)
{
    version_random random(3);
    joining vm(self);
    vm.begin(start, false, random);
    cr_expect(vm.choose_access(start) == platform_access::none);
    cr_expect(vm.next_due(start) == start + 20ms);
    cr_expect(vm.choose_access(start + 20ms) == platform_access::glancing);
    (void)vm.follow(start + 25ms, {{vm_id(5)}, false}, random);
    cr_expect(
        vm.choose_access(start + 30ms) == platform_access::glancing,
        "what was begun is ended");
    cr_expect_not(vm.reads_on(start + 30ms), "others read for it");
    joining seed_vm(self);
    seed_vm.begin(start, true, random);
    cr_expect(seed_vm.choose_access(start) == platform_access::reading);
    cr_expect(seed_vm.reads_on(start));

    joining answered(self);
    answered.begin(start, false, random);
    (void)answered.follow(start + 5ms, {{vm_id(5)}, false}, random);
    cr_expect(answered.choose_access(start + 20ms) == platform_access::none);
}

// Symptom: a VM keeps its core busy for as long as the platform is down.
// Sequence: it is to read, and waits. Cause: a deadline that has passed stays
// the next one.
Test(joining, what_is_due_already_wakes_nobody)
{
    for (bool const is_seed : {false, true})
    {
        version_random random(5);
        joining vm(self);
        vm.begin(start, is_seed, random);
        time_point now = start;
        int wakes = 0;
        while (auto const due = vm.next_due(now))
        {
            cr_assert(*due > now);
            now = *due;
            (void)vm.choose_access(now);
            (void)vm.take_due(now);
            ++wakes;
            if (now > start + 10s)
                break;
        }
        cr_expect_lt(wakes, 150, "it asks peers eleven times a second at most");
    }
}
