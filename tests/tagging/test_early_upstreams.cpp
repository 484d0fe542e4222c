#include "router_fixture.hpp"

using namespace cairnhead;
using namespace cairnhead::tagging_test;

namespace
{

/// A VM that has just started, and has read the upstreams on its own.
struct starting_vm
{
    void read(std::vector<registered_upstream> upstreams)
    {
        this->router.set_early_upstreams(this->now, make(std::move(upstreams)));
    }

    void learn_registry(std::vector<registered_upstream> upstreams)
    {
        this->router.set_listings(
            this->now,
            {.routes = std::make_shared<route_listing const>(),
             .upstreams = make(std::move(upstreams)),
             .evacuations = std::make_shared<evacuation_listing const>()});
    }

    /// The instance that gets a packet of an open flow; zero for none.
    std::uint64_t pass(std::uint64_t flow, std::uint64_t instance)
    {
        packet_arrived packet;
        packet.flow = flow_id(flow);
        packet.tag = tag_of(instance_number(instance));
        this->effects.clear();
        this->router.route(this->now, packet, this->effects);
        this->router.advance(this->now, this->effects);
        std::uint64_t reached = 0;
        for (effect const& each : this->effects)
        {
            this->resets += std::holds_alternative<reset_known_flow>(each);
            reached += router_fixture::instance_of(each);
        }
        return reached;
    }

    static std::shared_ptr<upstream_listing const>
    make(std::vector<registered_upstream> upstreams)
    {
        return std::make_shared<upstream_listing const>(
            upstream_listing{std::move(upstreams)});
    }

    tagging_settings settings;
    tag_router router{settings, make_failure_domain_id("perth"), router_seed};
    effect_list effects;
    int resets = 0;
    time_point now{1h};
};

} // namespace

// Guards against open flows that wait for documents of peers although the VM
// has read the upstreams, and against openings that are placed by that read.
Test(early_upstreams, serve_open_flows_alone)
{
    starting_vm vm;
    cr_expect_eq(vm.pass(1, 1), 0);
    vm.read({make_upstream(1), make_upstream(2)});
    cr_expect(vm.router.knows_upstreams());
    cr_expect_eq(vm.pass(1, 1), 1);
    cr_expect_eq(vm.pass(2, 3), 0);
    cr_expect_eq(vm.resets, 0, "the flow of an unknown tag was reset");
    cr_expect_not(vm.router.is_informed());
    vm.router.set_listings(
        vm.now, {.routes = std::make_shared<route_listing const>(),
                 .evacuations = std::make_shared<evacuation_listing const>()});
    cr_expect_not(vm.router.is_informed(), "the read counts as a document");
    cr_expect(vm.router.registry().upstreams == document_version());
}

// Guards against a read that outlives the document: it may name upstreams that
// are gone, or lack those that came since.
Test(early_upstreams, end_with_the_document)
{
    starting_vm vm;
    vm.read({make_upstream(1), make_upstream(2)});
    cr_assert_eq(vm.pass(1, 1), 1);
    cr_assert_eq(vm.pass(2, 2), 2);
    vm.learn_registry({make_upstream(2), make_upstream(3)});
    cr_expect_eq(vm.pass(1, 1), 0);
    cr_expect_eq(vm.pass(2, 2), 2);
    cr_expect_eq(vm.pass(3, 3), 3);
    vm.read({make_upstream(1)});
    cr_expect_eq(vm.pass(1, 1), 0, "the read came after the document");
    cr_expect_eq(vm.router.upstreams().size(), 2);
    // What passed before the document came still counts as load.
    for (tagged_upstream const& each : vm.router.upstreams())
        cr_expect_eq(each.flows, 1);
}

// Guards against resets of live flows: a peer's document may be older than the
// read, and then the upstream at an address is the earlier one of the two.
Test(early_upstreams, tell_nothing_about_who_took_over_an_address)
{
    auto earlier = make_upstream(1);
    auto later = make_upstream(2);
    later.address = earlier.address;
    starting_vm vm;
    vm.read({later});
    cr_assert_eq(vm.pass(2, 2), 2);
    vm.learn_registry({earlier});
    cr_expect_eq(vm.pass(2, 2), 0);
    cr_expect_eq(vm.resets, 0);
}
