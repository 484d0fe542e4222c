#include "router_fixture.hpp"

#include <tagging/slow_start_limiter.hpp>

#include <algorithm>
#include <random>

using namespace cairnhead;
using namespace cairnhead::tagging_test;

namespace
{

std::vector<vm_id> make_vms(std::uint32_t count, std::uint32_t first = 1)
{
    std::vector<vm_id> vms;
    for (std::uint32_t vm = 0; vm < count; ++vm)
        vms.emplace_back(first + vm);
    return vms;
}

/// One VM of a failure domain, with its state for one cold upstream.
struct opener
{
    bool is_appointed = false;
    slow_start_limiter admission;

    void set_members(vm_id self, std::span<vm_id const> vms)
    {
        appointed_opener appointed;
        appointed.set_vms(self, vms);
        this->is_appointed = appointed.is_appointed(instance_number(42));
    }

    bool try_open(time_point now, cold_limit limit)
    {
        bool const is_admitted =
            this->is_appointed && this->admission.may_open(now, limit.per_vm);
        if (is_admitted)
            this->admission.record_opening(now);
        return is_admitted;
    }
};

/// Largest number of openings in any span of a second. Precondition: the times
/// are sorted.
std::size_t maximum_per_second(std::vector<time_point> const& opened)
{
    std::size_t maximum = 0;
    auto first = opened.begin();
    for (auto last = opened.begin(); last != opened.end(); ++last)
    {
        while (*last >= *first + 1s)
            ++first;
        maximum = std::max(maximum, static_cast<std::size_t>(last - first) + 1);
    }
    return maximum;
}

/// Returns the times of the openings that reach one cold upstream when many
/// callers send openings to all VMs.
std::vector<time_point> send_openings(
    std::vector<opener>& openers, cold_limit limit, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<time_point> opened;
    time_point const start{1h};
    for (duration at{}; at < 4s; at += 1ms)
    {
        for (int asked = 0; asked < 60; ++asked)
        {
            opener& vm = openers[random() % openers.size()];
            if (vm.try_open(start + at, limit))
                opened.push_back(start + at);
        }
    }
    return opened;
}

constexpr double rates[] = {2, 5, 10, 50};

} // namespace

// Guards against an overload of a cold upstream by hundreds of VMs, each of
// which keeps within a limit while all of them together exceed it.
Test(slow_start_limiter, many_vms_keep_one_limit)
{
    for (double const rate : rates)
    {
        for (std::uint32_t const count : {6U, 84U, 300U})
        {
            auto const limit = make_cold_limit(rate, 1.5, 5);
            auto const vms = make_vms(count);
            std::vector<opener> openers(count);
            for (std::uint32_t vm = 0; vm < count; ++vm)
                openers[vm].set_members(vms[vm], vms);
            auto const opened = send_openings(openers, limit, 7);
            cr_expect_leq(maximum_per_second(opened), limit.total);
            cr_expect_geq(
                opened.size(), 4 * limit.per_vm, "the limit is not used up");
        }
    }
}

// Guards against an overload of a cold upstream while a network partition
// splits its failure domain: each half appoints a VM.
Test(slow_start_limiter, two_views_keep_one_limit)
{
    for (double const rate : rates)
    {
        auto const limit = make_cold_limit(rate, 1.5, 5);
        auto const vms = make_vms(300);
        std::vector<opener> openers(vms.size());
        std::vector<vm_id> const lower(vms.begin(), vms.begin() + 100);
        std::vector<vm_id> const upper(vms.begin() + 100, vms.end());
        for (std::size_t vm = 0; vm < vms.size(); ++vm)
            openers[vm].set_members(vms[vm], vm < 100 ? lower : upper);
        cr_expect_leq(
            maximum_per_second(send_openings(openers, limit, 8)), limit.total);
    }
}

// Guards against an overload of a cold upstream by VMs that have just started.
// None of them knows the other members yet, so that each could appoint itself.
Test(slow_start_limiter, vms_that_know_nobody_open_nothing)
{
    std::vector<opener> openers(300);
    auto const limit = make_cold_limit(50, 1.5, 5);
    cr_expect(send_openings(openers, limit, 9).empty());
}

// Guards against a limit that is counted in fixed windows: twice the limit
// would pass around the boundary of two windows.
Test(slow_start_limiter, every_span_of_a_second_counts)
{
    slow_start_limiter admission;
    time_point const start{1h};
    for (int opening = 0; opening < 3; ++opening)
    {
        cr_expect(admission.may_open(start + 900ms, 3));
        admission.record_opening(start + 900ms);
    }
    cr_expect_not(admission.may_open(start + 1s, 3));
    cr_expect_not(admission.may_open(start + 1899ms, 3));
    cr_expect(admission.may_open(start + 1900ms, 3));
}

// Guards against flows opened at a cold upstream by VMs of other failure
// domains, and against callers that wait while all upstreams are cold and at
// their limit.
Test(slow_start_limiter, openings_go_elsewhere_or_are_refused)
{
    auto cold = make_upstream(1);
    cold.cold_milliseconds = 2000;
    auto cold_remote = make_upstream(2, "main", "stirling");
    cold_remote.cold_milliseconds = 2000;
    router_fixture vm;
    vm.settings.cold_overrun = 1.5;
    vm.settings.cold_slack = 1;
    vm.list_routes({}, {{"main", 2s, 2.0}});
    vm.list({cold, cold_remote});
    std::vector<vm_id> const alone{vm_id(1)};
    vm.router.set_domain_vms(vm_id(1), alone);
    // The limit is half of 2 * 1.5 + 1 openings per second.
    cr_expect_eq(vm.establish(1), 1);
    cr_expect_eq(vm.establish(2), 1);
    auto const decided = vm.pass(3, packet_phase::opening, 0);
    cr_expect(std::holds_alternative<refuse_opening>(decided));
    vm.list({cold, cold_remote, make_upstream(3)});
    cr_expect_eq(vm.establish(4), 3);
    vm.wait(2s);
    cr_expect_neq(vm.open(5), 0);
}
