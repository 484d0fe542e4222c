#include "router_fixture.hpp"

#include <map>
#include <set>

using namespace cairnhead;
using namespace cairnhead::tagging_test;

namespace
{

std::vector<registered_upstream> make_two_domains()
{
    return {
        make_upstream(1), make_upstream(2),
        make_upstream(3, "main", "stirling"),
        make_upstream(4, "main", "stirling")};
}

bool is_refused(effect const& decided)
{
    return std::holds_alternative<refuse_opening>(decided);
}

bool is_remote(std::uint64_t instance)
{
    return instance == 3 || instance == 4;
}

} // namespace

// Guards against openings that still go to an evacuated failure domain.
Test(evacuation, openings_go_to_other_failure_domains)
{
    router_fixture vm(make_two_domains());
    vm.evacuate({"perth"});
    for (std::uint64_t flow = 1; flow <= 20; ++flow)
        cr_expect(is_remote(vm.establish(flow)));
    vm.evacuate({});
    std::set<std::uint64_t> used;
    for (std::uint64_t flow = 21; flow <= 40; ++flow)
        used.insert(vm.establish(flow));
    cr_expect(used.contains(1) && used.contains(2));
}

// Guards against an evacuation that sends all openings to one upstream instead
// of balancing them over the remaining ones.
Test(evacuation, openings_are_balanced_over_the_remaining_upstreams)
{
    router_fixture vm(make_two_domains());
    vm.evacuate({"perth"});
    std::map<std::uint64_t, int> openings;
    for (std::uint64_t flow = 1; flow <= 40; ++flow)
        ++openings[vm.establish(flow)];
    cr_expect_eq(openings[3], 20);
    cr_expect_eq(openings[4], 20);
}

// Guards against established flows that are ended because their failure domain
// is evacuated.
Test(evacuation, established_flows_continue)
{
    router_fixture vm(make_two_domains());
    auto const instance = vm.establish(1);
    cr_assert_not(is_remote(instance));
    vm.take<reset_known_flow>();
    vm.evacuate({"perth"});
    vm.wait(2s);
    cr_expect_eq(
        router_fixture::instance_of(vm.request(1, instance, 200)), instance);
    cr_expect(vm.take<reset_known_flow>().empty());
    // Flows that another VM opened there aren't ended either.
    cr_expect_eq(vm.route_tagged(77, 2), 2);
}

// Guards against retransmitted and retried openings that still go to an
// evacuated failure domain, to which first openings no longer go.
Test(evacuation, retried_openings_move)
{
    router_fixture vm(make_two_domains());
    vm.confirm_openings();
    cr_assert_not(is_remote(vm.open(1)));
    vm.evacuate({"perth"});
    cr_expect(
        is_remote(router_fixture::instance_of(vm.open_retransmission(1, 1))));

    router_fixture retrying(make_two_domains());
    retrying.confirm_openings();
    cr_assert_not(is_remote(retrying.open(2)));
    retrying.evacuate({"perth"});
    retrying.advance(retrying.settings.retry_after);
    auto const repeated = retrying.take<send_copy>();
    cr_assert_eq(repeated.size(), 1);
    cr_expect(is_remote(repeated[0].target.instance.value()));
}

// Guards against evacuated upstreams being chosen because no other is left: an
// upstream that is missing or avoided is still evacuated.
Test(evacuation, openings_are_refused_at_once_if_all_is_evacuated)
{
    router_fixture vm({make_upstream(1), make_upstream(2)});
    vm.evacuate({"perth"});
    cr_expect(is_refused(vm.pass(1, packet_phase::opening, 0)));
    auto const decided = vm.take<flow_decision>();
    cr_assert_not(decided.empty());
    cr_expect(decided.back().rule == flow_rule::only_evacuated_left);
    vm.list({});
    cr_expect(is_refused(vm.pass(2, packet_phase::opening, 0)));
    vm.list({make_upstream(1), make_upstream(2)});
    vm.evacuate({});
    cr_expect_neq(vm.open(3), 0);
}

// Guards against a VM that has just started and opens flows before it knows the
// evacuations.
Test(evacuation, no_flow_is_opened_before_evacuations_are_known)
{
    tagging_settings const settings;
    tag_router router(settings, make_failure_domain_id("perth"), router_seed);
    time_point const now{1h};
    router.set_listings(
        now, {.routes = std::make_shared<route_listing const>(),
              .upstreams = std::make_shared<upstream_listing const>()});
    cr_expect_not(router.is_informed());
    cr_expect(router.knows_upstreams());
    router.set_listings(
        now, {.evacuations = std::make_shared<evacuation_listing const>()});
    cr_expect(router.is_informed());
}

// Guards against an evacuation that cancels the evacuation of another failure
// domain, and against effects of a name that no upstream has.
Test(evacuation, several_and_unknown_failure_domains)
{
    auto upstreams = make_two_domains();
    upstreams.push_back(make_upstream(5, "main", "lanark"));
    router_fixture vm(upstreams);
    vm.evacuate({"atlantis", "perth"});
    cr_expect_neq(vm.open(1), 0);
    vm.evacuate({"atlantis", "perth", "stirling"});
    cr_expect_eq(vm.open(2), 5);
    vm.evacuate({"stirling"});
    auto const instance = vm.open(3);
    cr_expect(instance == 1 || instance == 2);
    vm.evacuate({"lanark", "perth", "stirling"});
    cr_expect(is_refused(vm.pass(4, packet_phase::opening, 0)));
}

// Guards against a thundering herd: after an evacuation all VMs return at once
// to upstreams that may have restarted meanwhile.
Test(evacuation, upstreams_are_cold_after_an_evacuation)
{
    router_fixture vm(make_two_domains());
    vm.list_routes({}, {{"main", 2s, 4.0}});
    vm.evacuate({"perth"});
    vm.evacuate({});
    // This VM does not know its domain's VMs, so it may not open flows at cold
    // upstreams.
    cr_expect(is_remote(vm.establish(1)));
    vm.wait(2s);
    cr_expect_not(is_remote(vm.establish(2)));
}
