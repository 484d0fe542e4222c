#include "broken_vm.hpp"

#include <criterion/criterion.h>

using namespace cairnhead;
using namespace cairnhead::soak;
using namespace std::chrono_literals;

namespace
{

/// Plays a while with a VM that does this wrong, and gives what was seen.
std::uint64_t violations_with(vm_fault fault, broken_promise kind, int network)
{
    broken_vm_world world(fault, network);
    world.run_for(5s);
    world.callers.begin();
    world.run_for(10s);
    cr_expect_gt(world.seen.requests(), 0);
    return world.seen.violations_of(kind);
}

} // namespace

Test(checks, a_vm_that_does_its_work_breaks_nothing)
{
    broken_vm_world world(vm_fault::none, 110);
    world.run_for(5s);
    world.callers.begin();
    world.run_for(10s);
    cr_expect_eq(world.seen.violations(), 0);
    cr_expect_gt(world.seen.ended(emulator::request_end::answered), 50);
}

Test(checks, each_broken_promise_is_seen)
{
    struct table_entry
    {
        vm_fault fault;
        broken_promise kind;
    };
    table_entry const table[] = {
        {vm_fault::resets_flows, broken_promise::living_flow_reset},
        {vm_fault::answers_nothing, broken_promise::living_flow_hung},
        {vm_fault::refuses_openings, broken_promise::refused_in_vain},
        {vm_fault::mixes_services, broken_promise::wrong_service},
        {vm_fault::sends_data_twice, broken_promise::living_flow_reset},
    };
    int network = 111;
    for (auto const& [fault, kind] : table)
    {
        auto const name = std::string(to_text(kind));
        cr_expect_gt(
            violations_with(fault, kind, network++), 0, "%s", name.c_str());
    }
}

Test(checks, what_a_fault_explains_is_no_violation)
{
    for (auto const fault :
         {vm_fault::resets_flows, vm_fault::answers_nothing,
          vm_fault::refuses_openings})
    {
        broken_vm_world world(fault, 120 + static_cast<int>(fault));
        world.run_for(5s);
        world.disturbed.note_vm(0, world.time.now() + 1h);
        world.callers.begin();
        world.run_for(8s);
        cr_expect_eq(world.seen.violations(), 0);
    }
}

// Errors of upstreams and slow ones must not count as faults of the VMs, nor
// last longer than the scenario says: recovery is measured after them.
Test(checks, upstreams_that_are_slow_or_fail_break_nothing)
{
    broken_vm_world world(vm_fault::none, 132);
    world.run_for(5s);
    world.callers.begin();
    world.upstreams.fail_many(0, world.time.now() + 3s);
    world.upstreams.slow_down_many(1, world.time.now() + 3s);
    world.run_for(4s);
    auto const failed = world.seen.ended(emulator::request_end::failed);
    cr_expect_gt(failed, 0);
    world.run_for(3s);
    cr_expect_eq(world.seen.ended(emulator::request_end::failed), failed);
    cr_expect_eq(world.seen.violations(), 0);
}

Test(checks, new_flows_at_a_leaving_upstream_are_seen)
{
    broken_vm_world world(vm_fault::opens_at_leaving, 130);
    world.callers.begin();
    world.run_for(5s);
    world.upstreams.drain(0);
    world.run_for(2s);
    cr_expect_eq(
        world.seen.violations_of(broken_promise::new_at_leaving), 0,
        "within the bound");
    world.run_for(5s);
    cr_expect_gt(world.seen.violations_of(broken_promise::new_at_leaving), 0);
}

Test(checks, a_route_that_is_served_too_long_or_not_at_all_is_seen)
{
    broken_vm_world world(vm_fault::none, 131);
    world.run_for(5s);
    world.callers.probe(0, {443, "listings"}, probe_expectation::not_served);
    world.run_for(2s);
    cr_expect_eq(
        world.seen.violations_of(broken_promise::old_configuration), 1);
    world.fault = vm_fault::answers_nothing;
    world.callers.probe(0, {443, "listings"}, probe_expectation::served);
    world.run_for(2s);
    cr_expect_eq(
        world.seen.violations_of(broken_promise::old_configuration), 2);
}

Test(checks, a_request_that_runs_twice_or_though_refused_is_seen)
{
    soak_record record;
    time_point const now(1h);
    record.note_run(now, flow_number(1), 1, "i-1");
    record.note_run(now, flow_number(1), 2, "i-1");
    record.note_run(now, flow_number(2), 1, "i-1");
    cr_expect_eq(record.violations(), 0);
    record.note_run(now, flow_number(2), 1, "i-2");
    cr_expect_eq(record.violations_of(broken_promise::run_twice), 1);
    record.note_refusal(flow_number(3));
    record.note_run(now, flow_number(3), 1, "i-1");
    cr_expect_eq(record.violations_of(broken_promise::run_though_refused), 1);
    cr_expect_eq(record.lines().size(), 2);
}
