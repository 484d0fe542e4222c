#include <observability/flow_log.hpp>

#include <algorithm>
#include <string>
#include <vector>

// Last: its macro `Test` would change Abseil's headers.
#include <criterion/criterion.h>

using namespace cairnhead;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};

/// A VM's log of flows.
struct vm_log
{
    explicit vm_log(std::uint32_t flows_per_second)
        : flows(this->log, flows_per_second)
    {
    }

    std::size_t count_lines()
    {
        this->log.flush();
        return static_cast<std::size_t>(std::ranges::count(this->text, '\n'));
    }

    std::string text;
    logger log{
        {.lines_per_second = 1'000'000, .waiting_bytes = 100'000'000},
        [this](std::string_view bytes) -> write_outcome
        {
            this->text += bytes;
            return {write_state::written, bytes.size()};
        }};
    flow_log flows;
};

flow_decision make_decision(std::uint64_t flow, flow_step step)
{
    flow_decision decided;
    decided.step = step;
    // As the keyed hash of a flow: all bits vary.
    decided.flow = flow_id(flow * 0x9e3779b97f4a7c15U);
    decided.caller = {ipv4_address(0x64400007), 40001, transport_protocol::tcp};
    decided.route = {ipv4_address(0xc6120001), 443, transport_protocol::tcp};
    decided.service = "listings";
    decided.upstream = instance_number(0x7f3a91c2);
    decided.address = ipv4_address(0x0a800009);
    decided.flows = 7;
    decided.slots = 2;
    decided.pool_size = 14;
    decided.ready = 12;
    decided.known = {document_version(3),  document_version(41),
                     document_version(40), start,
                     start - 320ms,        start - 1s};
    return decided;
}

} // namespace

Test(flow_log, a_line_has_the_flow_the_decision_and_its_inputs)
{
    vm_log vm(20);
    auto decided = make_decision(1, flow_step::placed);
    decided.waited = 51ms;
    vm.flows.write(start, decided);
    vm.log.flush();
    cr_expect(
        vm.text.ends_with(
            "level=info event=flow_placed caller=100.64.0.7:40001 "
            "route=198.18.0.1:443 service=listings rule=least_loaded "
            "upstream=i-7f3a91c2 "
            "at=10.128.0.9 flows=7 slots=2 pool=14 ready=12 waited_ms=51 "
            "routes=3 registry=41 registry_age_ms=320\n"),
        "%s", vm.text.c_str());
}

Test(flow_log, a_registry_that_is_not_known_has_no_age)
{
    // Symptom: a VM says that its registry is days old. Sequence: it drops a
    // packet before it knows any registry. Cause: the age of a moment that was
    // never set.
    vm_log vm(20);
    auto decided = make_decision(1, flow_step::dropped);
    decided.known = {};
    vm.flows.write(start, decided);
    vm.log.flush();
    cr_expect(
        vm.text.ends_with("routes=0 registry=0\n"), "%s", vm.text.c_str());
}

Test(flow_log, a_busy_vm_logs_some_flows_whole)
{
    vm_log vm(20);
    for (std::uint64_t flow = 1; flow <= 10'000; ++flow)
    {
        vm.flows.write(
            start + flow * 100us, make_decision(flow, flow_step::placed));
        auto slow = make_decision(flow, flow_step::confirmed);
        slow.waited = 60ms;
        vm.flows.write(start + flow * 100us, slow);
    }
    auto const lines = vm.count_lines();
    cr_expect_gt(lines, 20);
    cr_expect_lt(lines, 300);
    cr_expect_gt(vm.flows.sampled_out(), 19'000);
    cr_expect(vm.text.find("logged_one_in=") != std::string::npos);
}

Test(flow_log, a_quick_answer_is_not_worth_a_line)
{
    vm_log vm(20);
    auto decided = make_decision(1, flow_step::confirmed);
    decided.waited = 3ms;
    vm.flows.write(start, decided);
    cr_expect_eq(vm.count_lines(), 0);
    decided.waited = 51ms;
    vm.flows.write(start, decided);
    cr_expect_eq(vm.count_lines(), 1);
}

Test(flow_log, what_goes_wrong_is_logged_of_all_flows)
{
    vm_log vm(1);
    for (std::uint64_t flow = 1; flow <= 100; ++flow)
        vm.flows.write(start, make_decision(flow, flow_step::placed));
    auto const before = vm.count_lines();
    for (std::uint64_t flow = 1; flow <= 100; ++flow)
        vm.flows.write(start, make_decision(flow, flow_step::reset));
    cr_expect_eq(vm.count_lines() - before, 100);
}

Test(flow_log, vms_of_different_load_keep_the_same_flows)
{
    // Symptom: a flow's story has its begin on one VM and no more. Sequence:
    // its packets pass a busy VM and an idle one. Cause: each VM chose the
    // flows that it logs by itself.
    flow_sampler idle(20);
    flow_sampler busy(20);
    std::uint64_t flow = 0;
    for (int second = 0; second < 5; ++second)
    {
        for (int count = 0; count < 100; ++count)
            static_cast<void>(idle.note_opened(
                start + second * 1s, flow_id(++flow * 0x9e3779b97f4a7c15U)));
        for (int count = 0; count < 5'000; ++count)
            static_cast<void>(busy.note_opened(
                start + second * 1s, flow_id(++flow * 0x9e3779b97f4a7c15U)));
    }
    cr_expect_lt(idle.kept_one_in(), busy.kept_one_in());
    for (std::uint64_t number = 1; number < 100'000; ++number)
    {
        flow_id const one(number * 0x9e3779b97f4a7c15U);
        cr_assert(!busy.keeps(one) || idle.keeps(one));
    }
}

Test(flow_log, a_vm_that_calms_down_logs_all_flows_again)
{
    flow_sampler sampler(20);
    for (std::uint64_t flow = 0; flow < 5'000; ++flow)
        static_cast<void>(sampler.note_opened(start, flow_id(flow)));
    cr_expect_gt(sampler.kept_one_in(), 100);
    for (int second = 1; second < 20; ++second)
        static_cast<void>(sampler.note_opened(start + second * 1s, flow_id(1)));
    cr_expect_eq(sampler.kept_one_in(), 1);
    flow_sampler none(0);
    cr_expect_not(none.note_opened(start, flow_id(0)));
}

// Guards against flows that were led astray without a line that tells by what.
Test(flow_log, takeovers_by_a_lookup_are_all_logged)
{
    constexpr std::size_t flows = 1'000;
    vm_log vm(1);
    for (std::uint64_t number = 0; number < flows; ++number)
    {
        auto decided = make_decision(number, flow_step::taken_over);
        decided.rule = number % 2 == 0 ? flow_rule::named_by_peer
                                       : flow_rule::named_by_provisional_tag;
        vm.flows.write(start, decided);
    }
    cr_expect_eq(vm.count_lines(), flows);
}
