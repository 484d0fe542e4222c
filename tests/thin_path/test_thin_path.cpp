#include "fleet.hpp"

#include <criterion/criterion.h>
#include <csignal>
#include <regex>

using namespace cairnhead::thin_path;

namespace
{

/// A number of the callers' summary line.
int summary_value(std::string const& output, std::string const& name)
{
    std::regex const pattern("\nflows=.* " + name + "=([0-9]+)");
    std::smatch found;
    cr_assert(
        std::regex_search(output, found, pattern), "no summary in: %s",
        output.c_str());
    return std::stoi(found[1]);
}

/// Waits for the callers' end and checks that every flow was answered whole.
void expect_no_broken_flow(child_process& callers, workload const& offered)
{
    int const status = callers.wait_for_exit();
    std::string const output = "\n" + callers.output();
    cr_expect_eq(
        summary_value(output, "broken"), 0, "broken flows: %s", output.c_str());
    cr_expect_eq(
        summary_value(output, "completed"), offered.flows, "%s",
        output.c_str());
    cr_expect_eq(status, 0);
}

} // namespace

Test(thin_path, serves_flows_from_end_to_end)
{
    fleet started(1);
    workload const offered;
    auto callers = started.start_callers(offered);
    expect_no_broken_flow(callers, offered);
}

// Symptom: flows break when an entry VM dies without a word.
// Sequence: 200 flows are open; one VM is killed; the fabric sends packets to
// it until the others have noticed; each flow goes on.
// Cause: a pin that stood on the dead VM alone would be lost with it.
Test(thin_path, survives_the_death_of_an_entry_vm)
{
    fleet started(2);
    auto callers = started.start_callers(long_flows);
    fleet::wait_until_open(callers, long_flows);
    started.entry_vm(1).signal(SIGKILL);
    started.wait_for_log(0, "event=member_died");
    started.withdraw_from_fabric(1);
    expect_no_broken_flow(callers, long_flows);
}

// Symptom: a VM that was paused sends flows by an old view when it wakes.
// Sequence: 200 flows are open; one VM is stopped until another takes it for
// dead, and goes on then; each flow goes on.
// Cause: packets that waited in its sockets, and members that it believes in.
Test(thin_path, survives_the_pause_of_an_entry_vm)
{
    fleet started(3);
    auto callers = started.start_callers(long_flows);
    fleet::wait_until_open(callers, long_flows);
    started.entry_vm(1).signal(SIGSTOP);
    started.wait_for_log(0, "event=member_died");
    started.entry_vm(1).signal(SIGCONT);
    started.wait_for_log(1, "event=view_refreshed");
    expect_no_broken_flow(callers, long_flows);
}

// Symptom: a planned stop cuts requests in progress.
// Sequence: 200 flows are open; one VM gets SIGTERM and leaves; each flow
// goes on, and the VM's process ends by itself with success.
// Cause: pins of idle flows that were not handed over before the exit.
Test(thin_path, survives_the_planned_leave_of_an_entry_vm)
{
    fleet started(4);
    auto callers = started.start_callers(long_flows);
    fleet::wait_until_open(callers, long_flows);
    started.entry_vm(1).signal(SIGTERM);
    cr_expect_eq(started.entry_vm(1).wait_for_exit(), 0);
    started.withdraw_from_fabric(1);
    expect_no_broken_flow(callers, long_flows);
}

// Symptom: nothing is served while the platform is down.
// Sequence: the platform goes down; every VM notices; new flows come.
// Cause: a decision that waits for the platform.
Test(thin_path, serves_while_the_platform_is_down)
{
    fleet started(5);
    auto callers = started.start_callers(long_flows);
    started.put_to_platform("/control/fault", R"({"down":true})");
    started.wait_for_log(0, "event=platform_unreachable");
    expect_no_broken_flow(callers, long_flows);
    workload const later;
    auto later_callers = started.start_callers(later, 1);
    expect_no_broken_flow(later_callers, later);
}

// Symptom: flows at an upstream break when its operator drains it, or it gets
// new work afterwards.
// Sequence: 200 flows are open; an upstream gets the label `draining`; its
// flows go on to their end; later flows go elsewhere.
// Cause: a table that forgets the upstream instead of giving it no new work.
Test(thin_path, drains_an_upstream_without_cutting_its_flows)
{
    fleet started(6);
    auto callers = started.start_callers(long_flows);
    fleet::wait_until_open(callers, long_flows);
    started.publish({.draining = {0}, .service_line = {}}, 2);
    workload const later;
    auto later_callers = started.start_callers(later, 1);
    expect_no_broken_flow(later_callers, later);
    cr_expect_eq(
        summary_value("\n" + later_callers.output(), "upstreams"),
        upstream_count - 1);
    expect_no_broken_flow(callers, long_flows);
}

// Symptom: a caller that was refused waits in vain, or is told that its
// request was not run although an upstream got it.
// Sequence: a service holds few flows; more callers come than it may have;
// each is either served to the end or told 503 at once.
// Cause: an answer that needs state which only one VM has.
Test(thin_path, refuses_by_http_what_is_beyond_the_limit)
{
    fleet started(7);
    started.publish(
        {.draining = {},
         .service_line = "refusal: http_503\n    limits: {flows: 20}"},
        2);
    workload const crowd{60, 60, 10, 200};
    auto callers = started.start_callers(crowd);
    cr_expect_eq(callers.wait_for_exit(), 0);
    std::string const output = "\n" + callers.output();
    int const refused = summary_value(output, "refused");
    cr_expect_eq(summary_value(output, "broken"), 0, "%s", output.c_str());
    cr_expect_eq(summary_value(output, "unanswered"), 0);
    cr_expect_gt(refused, 0);
    cr_expect_eq(
        summary_value(output, "completed"), crowd.flows - refused, "%s",
        output.c_str());
}

Test(thin_path, ends_at_once_at_the_second_signal)
{
    fleet started(8);
    started.entry_vm(0).signal(SIGTERM);
    started.wait_for_log(0, "event=leave_started");
    started.entry_vm(0).signal(SIGTERM);
    cr_expect_eq(started.entry_vm(0).wait_for_exit(), 0);
    cr_expect(
        started.entry_vm(0).output().find("event=ended_at_once") !=
        std::string::npos);
}
