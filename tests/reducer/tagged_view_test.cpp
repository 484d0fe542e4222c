#include <base/hash.hpp>
#include <reducer/tagged_view.hpp>

#include <criterion/criterion.h>

using namespace cairnhead;

namespace
{

tagged_upstream make_upstream(std::uint64_t number, std::string pool)
{
    tagged_upstream made;
    made.registered.instance = instance_number(number);
    made.registered.address =
        ipv4_address(0x0a000000 + static_cast<unsigned>(number));
    made.registered.pool = std::move(pool);
    made.registered.failure_domain = "perth";
    made.domain = make_failure_domain_id("perth");
    return made;
}

} // namespace

Test(tagged_view, shows_routes_as_services_with_their_upstreams)
{
    std::vector<tagged_upstream> upstreams = {
        make_upstream(0x00a1b2c3, "main"), make_upstream(2, "other"),
        make_upstream(3, "main")};
    upstreams[2].missing_since = time_point();
    ipv4_address const address(0xc6120001);
    route_listing routes;
    routes.routes = {
        {address, 443, flow_class::feed, true, {{"main", 1}}},
        {address, 444, flow_class::form, false, {{"main", 9}, {"other", 1}}}};

    auto const shown = make_shown_directory(routes, upstreams);
    cr_assert_eq(shown->services().size(), 2);
    service const* const plain =
        shown->find_service({address, 443, transport_protocol::tcp});
    cr_assert_not_null(plain);
    cr_expect(plain->name == "registry/main" && plain->upstreams.size() == 1);
    service const* const split =
        shown->find_service({address, 444, transport_protocol::tcp});
    cr_assert_not_null(split);
    cr_expect(
        split->name == "registry/main:9+other:1" &&
        split->upstreams.size() == 2);
    cr_assert_eq(shown->upstreams().size(), 2);
    upstream const* const first =
        shown->find_upstream(upstream_id(0x0a000000 + 0x00a1b2c3));
    cr_assert_not_null(first);
    cr_expect(first->name == "i-00a1b2c3" && first->domain_name == "perth");
}

Test(tagged_view, shows_how_upstreams_do)
{
    std::vector<upstream_candidate> known;
    for (std::uint64_t const number : {4, 1, 2, 3})
        known.push_back({make_upstream(number, "main").registered, 0, {}});
    known[0].view.verdict = upstream_verdict::avoided;
    known[0].view.cold_until = time_point();
    known[1].flows = 7;
    known[2].view.verdict = upstream_verdict::draining;
    known[3].view.verdict = upstream_verdict::unreachable;
    auto const shown = make_shown_upstreams(known);
    cr_assert_eq(shown.size(), 4);
    cr_expect_eq(shown[0].state.flows, 7);
    cr_expect(shown[0].state.condition == upstream_condition::healthy);
    cr_expect(!shown[0].state.is_ejected && !shown[0].state.is_cold);
    cr_expect(shown[1].state.condition == upstream_condition::draining);
    cr_expect(shown[2].state.condition == upstream_condition::failed);
    cr_expect(shown[2].state.is_ejected);
    cr_expect(shown[3].state.condition == upstream_condition::healthy);
    cr_expect(shown[3].state.is_ejected && shown[3].state.is_cold);
    cr_assert(shown[2].belief.has_value());
    cr_expect(shown[2].belief->verdict == upstream_verdict::unreachable);
}
