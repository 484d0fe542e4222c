#include <versions/join_queue.hpp>
#include <versions/joining.hpp>

#include <criterion/criterion.h>
#include <map>
#include <set>
#include <vector>

using namespace cairnhead;
using namespace std::chrono_literals;

namespace
{

constexpr failure_domain_id own_domain(1);
constexpr failure_domain_id remote_domain(2);
constexpr vm_identity self{vm_id(1), own_domain};
constexpr time_point start{1h};

version_settings make_settings()
{
    version_settings settings;
    settings.reader_patience = 1200ms;
    return settings;
}

join_queue make_queue()
{
    return {make_settings(), self, 7};
}

/// A peer that has joined.
document_peer member(std::uint32_t id, failure_domain_id domain)
{
    return {vm_id(id), domain};
}

} // namespace

Test(join_queue, refers_to_members_of_the_joiners_domain)
{
    auto queue = make_queue();
    std::vector<document_peer> const peers{
        member(10, own_domain), member(20, remote_domain),
        member(21, remote_domain), member(22, remote_domain)};
    std::set<vm_id> named;
    for (std::uint32_t joiner = 100; joiner < 140; ++joiner)
    {
        auto const referral = queue.ask(
            start, vm_id(joiner), {remote_domain, false, false, 0},
            {peers, true});
        cr_assert(referral);
        cr_expect_not(referral->is_to_read);
        cr_expect_eq(referral->holders.size(), 2);
        named.insert(referral->holders.begin(), referral->holders.end());
    }
    std::set<vm_id> const all{vm_id(20), vm_id(21), vm_id(22)};
    cr_expect(named == all);
    cr_expect(queue.take_due(start).empty(), "no joiner was queued here");
}

Test(join_queue, serves_referred_joiners_a_few_at_a_time)
{
    auto queue = make_queue();
    std::size_t referred = 0;
    for (std::uint32_t joiner = 100; joiner < 120; ++joiner)
    {
        auto const referral = queue.ask(
            start, vm_id(joiner), {own_domain, false, true, 0}, {{}, true});
        if (!referral)
            continue;
        ++referred;
        for (vm_id const holder : referral->holders)
            cr_expect_lt(holder.value(), 108U, "only queued joiners");
    }
    cr_expect_eq(referred, 12);
    cr_expect_eq(queue.take_due(start).size(), 4);
    cr_expect(queue.take_due(start + 50ms).empty());
    cr_expect_eq(queue.take_due(start + 100ms).size(), 4);
    cr_expect(queue.take_due(start + 200ms).empty());
}

Test(join_queue, a_joiner_that_asks_again_is_served)
{
    // Symptom: a joiner is referred from VM to VM for seconds. Sequence: most
    // VMs of its failure domain have just lost power, and no VM has detected
    // that yet. Cause: it is referred to stopped members again and again.
    auto queue = make_queue();
    std::vector<document_peer> const stopped{member(20, remote_domain)};
    cr_expect(queue.ask(
        start, vm_id(100), {remote_domain, false, false, 0}, {stopped, true}));
    cr_expect_not(queue.ask(
        start, vm_id(100), {remote_domain, false, false, 1}, {stopped, true}));
    cr_expect(queue.take_due(start) == std::vector{vm_id(100)});
}

Test(join_queue, the_first_of_an_unknown_domain_reads_the_platform)
{
    auto queue = make_queue();
    auto const first = queue.ask(
        start, vm_id(100), {remote_domain, false, false, 0}, {{}, false});
    cr_assert(first);
    cr_expect(first->is_to_read);
    // It is queued here as well: whichever serves it sooner.
    cr_expect(queue.take_due(start) == std::vector{vm_id(100)});
    // If this VM has the documents, the joiner need not read the platform.
    auto queue_with_documents = make_queue();
    cr_expect_not(queue_with_documents.ask(
        start, vm_id(100), {remote_domain, false, false, 0}, {{}, true}));
}

// Symptom: when all VMs start at once, the few VMs that all of them ask serve
// every joiner. Sequence: three hundred, or two thousand, joiners of one
// failure domain ask one VM. Cause: a VM serves each joiner that asks it.
Test(join_queue, a_start_of_all_vms_forms_a_tree)
{
    for (std::uint32_t const joiners : {50U, 300U, 2'200U})
    {
        for (failure_domain_id const domain : {own_domain, remote_domain})
        {
            auto queue = make_queue();
            std::map<vm_id, std::size_t> children;
            std::map<vm_id, std::size_t> depth;
            std::size_t queued_here = 0;
            for (std::uint32_t joiner = 0; joiner < joiners; ++joiner)
            {
                vm_id const vm(1'000 + joiner);
                auto const referral = queue.ask(
                    start, vm, {domain, false, false, 0}, {{}, false});
                bool const is_referred = referral && !referral->is_to_read;
                if (!is_referred)
                {
                    ++queued_here;
                    depth[vm] = 1;
                    continue;
                }
                cr_assert_eq(referral->holders.size(), 1);
                vm_id const parent = referral->holders.front();
                cr_assert(depth.contains(parent), "the parent asked before");
                depth[vm] = depth[parent] + 1;
                cr_expect_leq(++children[parent], 4);
            }
            cr_expect_eq(queued_here, domain == own_domain ? 4 : 1);
            // Four to the power of seven is more than the number of joiners.
            for (auto const& [vm, steps] : depth)
                cr_expect_leq(steps, 7);
        }
    }
}

Test(join_queue, a_flood_of_requests_is_bounded)
{
    auto queue = make_queue();
    for (std::uint32_t joiner = 0; joiner < 20'000; ++joiner)
        (void)queue.ask(
            start, vm_id(1'000 + joiner),
            {remote_domain, false, joiner % 2 == 0, joiner % 3}, {{}, false});
    std::size_t served = 0;
    for (int turn = 0; turn < 100; ++turn)
        served += queue.take_due(start + turn * 100ms).size();
    cr_expect_eq(served, 8);
}

// Symptom: after a loss of all VMs callers wait until the seeds have read the
// platform. Sequence: the seeds are the last to start; a few others have read
// it meanwhile, and no VM knows that. Cause: joiners are referred only to the
// joiners that asked first.
Test(join_queue, joiners_are_referred_to_vms_that_have_read)
{
    auto queue = make_queue();
    queue.record_holder(start, vm_id(50), remote_domain);
    queue.record_holder(start, vm_id(51), remote_domain);
    queue.record_holder(start, vm_id(60), own_domain);
    std::map<vm_id, int> named;
    for (std::uint32_t joiner = 100; joiner < 110; ++joiner)
    {
        auto const referral = queue.ask(
            start, vm_id(joiner), {remote_domain, false, false, 0},
            {{}, false});
        cr_assert(referral);
        cr_expect_not(referral->is_to_read);
        for (vm_id const holder : referral->holders)
            ++named[holder];
    }
    cr_expect_eq(named[vm_id(50)], 10);
    cr_expect_eq(named[vm_id(51)], 10);
    auto const later = queue.ask(
        start + 10s, vm_id(200), {remote_domain, false, false, 0}, {{}, false});
    cr_expect(
        later && later->is_to_read, "the holders are no longer remembered");
}

Test(joining, asks_again_soon_until_referred_and_then_later)
{
    version_random random(1);
    joining vm(self);
    vm.begin(start, false, random);
    cr_expect(vm.take_due(start));
    cr_expect_eq(vm.peers_to_ask(), 2);
    cr_expect_not(vm.take_due(start + 50ms));
    cr_expect(vm.take_due(start + 100ms), "no peer answered");
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
    cr_expect(vm.take_due(start + 1s), "no VM served it");
    cr_expect_eq(vm.peers_to_ask(), 2);
    cr_expect_eq(vm.request().attempt, 1);
    cr_expect_eq(
        vm.follow(start + 1s, {{vm_id(6)}, false}, random).size(), 1,
        "it may be up by now");
}

Test(joining, reads_when_told_to_or_without_an_answer)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        version_random random(seed);
        joining unstarted(self);
        cr_expect_not(
            unstarted.keeps_reading(start), "it reads without having begun");
        joining silent(self);
        silent.begin(start, false, random);
        cr_expect(
            silent.choose_access(start + 1600ms) == platform_access::reading);

        joining told_to_read(self);
        told_to_read.begin(start, false, random);
        (void)told_to_read.follow(start + 5ms, {{}, true}, random);
        cr_expect(
            told_to_read.choose_access(start + 5ms) ==
            platform_access::reading);

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

// Symptom: a start of all VMs costs as many complete reads as there are VMs, or
// all VMs wait until the seeds have read. Sequence: the seeds are the last to
// start. Cause: each VM soon reads by itself, or none reads before it is told
// to.
Test(joining, few_vms_read_a_registry_of_several_pages_and_at_once)
{
    version_random random(11);
    int early = 0;
    for (int vm = 0; vm < 2'200; ++vm)
    {
        joining each(self);
        each.begin(start, false, random);
        bool const is_early =
            each.choose_access(start) == platform_access::reading;
        each.record_several_pages();
        auto const later_access = each.choose_access(start + 700ms);
        cr_expect(
            later_access ==
            (is_early ? platform_access::reading : platform_access::none));
        early += is_early ? 1 : 0;
    }
    cr_expect_gt(early, 60);
    cr_expect_lt(early, 160);
}

// Symptom: after a loss of all VMs of a small deployment callers wait for peers
// that have to read the platform first. Cause: the rule for registries of
// several pages applies to a registry of one page as well.
Test(joining, a_registry_of_one_page_is_read_at_once)
{
    version_random random(3);
    joining vm(self);
    vm.begin(start, false, random);
    cr_expect(vm.choose_access(start) == platform_access::none);
    cr_expect(vm.next_due(start) == start + 20ms);
    cr_expect(vm.choose_access(start + 20ms) == platform_access::first_page);
    (void)vm.follow(start + 25ms, {{vm_id(5)}, false}, random);
    cr_expect(
        vm.choose_access(start + 30ms) == platform_access::first_page,
        "a read that was started is completed");
    cr_expect_not(vm.keeps_reading(start + 30ms), "others read for it");
    joining seed_vm(self);
    seed_vm.begin(start, true, random);
    cr_expect(seed_vm.choose_access(start) == platform_access::reading);
    cr_expect(seed_vm.keeps_reading(start));

    joining answered(self);
    answered.begin(start, false, random);
    (void)answered.follow(start + 5ms, {{vm_id(5)}, false}, random);
    cr_expect(answered.choose_access(start + 20ms) == platform_access::none);
}

// Guards against a start of all VMs in which open flows wait for late seeds,
// and against reads that serve nobody: a VM that a seed answered in time gets
// the documents, and a VM that reads everything sees the upstreams first.
Test(joining, upstreams_are_read_once_if_no_seed_answers_in_time)
{
    version_random random(3);
    joining vm(self);
    cr_expect_not(vm.take_upstreams_read(start + 1s), "it has not begun");
    vm.begin(start, false, random);
    cr_expect_not(vm.take_upstreams_read(start + 19ms));
    cr_expect(vm.take_upstreams_read(start + 20ms));
    cr_expect_not(vm.take_upstreams_read(start + 30ms));

    joining answered(self);
    answered.begin(start, false, random);
    (void)answered.follow(start + 19ms, {{vm_id(5)}, false}, random);
    cr_expect_not(answered.take_upstreams_read(start + 20ms));

    joining seed_vm(self);
    seed_vm.begin(start, true, random);
    cr_expect_not(seed_vm.take_upstreams_read(start + 20ms));
}

// Symptom: a VM keeps its core busy for as long as the platform is down.
// Sequence: it is to read, and waits for an answer. Cause: a deadline that has
// passed remains the next one.
Test(joining, a_deadline_that_has_passed_causes_no_wakeup)
{
    for (bool const is_seed : {false, true})
    {
        version_random random(5);
        joining vm(self);
        vm.begin(start, is_seed, random);
        time_point now = start;
        int wakeups = 0;
        while (auto const due = vm.next_due(now))
        {
            cr_assert(*due > now);
            now = *due;
            (void)vm.choose_access(now);
            (void)vm.take_due(now);
            ++wakeups;
            if (now > start + 10s)
                break;
        }
        cr_expect_lt(
            wakeups, 150, "it asks peers eleven times a second at most");
    }
}
