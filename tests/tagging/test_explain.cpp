#include "router_fixture.hpp"

using namespace cairnhead;
using namespace cairnhead::tagging_test;

namespace
{

/// The router's explanation of a flow that is opened now.
tagged_explanation explain(router_fixture const& vm, std::uint64_t flow = 999)
{
    return vm.router.explain(
        vm.now, flow_id(flow),
        {ipv4_address(0xc6120001), known_port, transport_protocol::tcp});
}

std::uint64_t
instance_at(tagged_explanation const& explanation, std::size_t index)
{
    return explanation.candidates.at(index).registered.instance.value();
}

upstream_view
view_of(tagged_explanation const& explanation, std::uint64_t instance)
{
    for (upstream_candidate const& each : explanation.candidates)
    {
        if (each.registered.instance.value() == instance)
            return each.view;
    }
    cr_assert_fail("the upstream is no candidate");
    return {};
}

} // namespace

// Symptom: the explanation names an upstream that no new flow gets.
// Sequence: flows are opened one after the other at upstreams whose loads
// differ.
// Cause: the explanation orders upstreams differently from the placement.
Test(explain, names_the_upstream_that_the_next_flow_gets)
{
    router_fixture vm({make_upstream(1), make_upstream(2), make_upstream(3)});
    // The choice is random among upstreams of equal load, and only among these.
    for (std::uint64_t flow = 1; flow <= 30; ++flow)
    {
        auto const explanation = explain(vm);
        auto const best = explanation.candidates.at(0).view;
        auto const opened = vm.establish(flow);
        auto const chosen = view_of(explanation, opened);
        cr_expect(chosen.verdict == best.verdict);
        cr_expect_eq(chosen.load_permille, best.load_permille);
    }
}

Test(explain, reports_the_evidence_for_each_verdict)
{
    router_fixture vm({make_upstream(4, "other")});
    vm.confirm_openings(other_port);
    vm.list({make_upstream(1), make_upstream(2), make_upstream(3)});
    vm.settings.upstream_retention = 1h;
    auto draining = make_upstream(2);
    draining.is_draining = true;
    vm.list({make_upstream(1), draining});
    auto explanation = explain(vm);
    cr_assert_eq(explanation.candidates.size(), 3);
    cr_expect(explanation.pool == "main" && explanation.current == nullptr);
    cr_expect_eq(instance_at(explanation, 0), 1);
    cr_expect(view_of(explanation, 1).verdict == upstream_verdict::ready);
    cr_expect(view_of(explanation, 2).verdict == upstream_verdict::draining);
    cr_expect(view_of(explanation, 3).verdict == upstream_verdict::missing);
    cr_expect(view_of(explanation, 3).missing_since == vm.now);

    auto const opened_at = vm.now;
    cr_assert_eq(vm.open(7), 1);
    vm.advance(vm.settings.retry_after);
    explanation = explain(vm, 7);
    auto const silent = view_of(explanation, 1);
    cr_expect(silent.verdict == upstream_verdict::avoided);
    cr_expect_eq(silent.unanswered, 1);
    cr_expect(silent.silent_since > opened_at);
    cr_expect(silent.avoided_until > vm.now);
    cr_expect(!silent.answered_at.has_value());
    cr_assert_not_null(explanation.current);
}

Test(explain, has_no_candidates_without_a_route)
{
    router_fixture const vm({make_upstream(1)});
    auto const explanation = vm.router.explain(
        vm.now, flow_id(1),
        {ipv4_address(0xc6120001), unknown_port, transport_protocol::tcp});
    cr_expect_null(explanation.route);
    cr_expect(explanation.candidates.empty());
}
