#include "fleet.hpp"

#include <criterion/criterion.h>
#include <random>
#include <registry/registry.hpp>
#include <versions/document_name.hpp>

using namespace cairnhead;
using namespace cairnhead::version_texts;

namespace
{

constexpr std::uint64_t seed = 20260101;

std::string const routes(route_document_name);
std::string const upstreams(upstream_document_name);

/// A listing of one upstream, which names it.
std::string make_upstreams(std::uint64_t instance)
{
    registered_upstream upstream;
    upstream.instance = instance_number(instance);
    upstream.pool = "main";
    return encode_listing(upstream_listing{{upstream}});
}

/// A listing of one route at this port.
std::string make_routes(std::uint16_t port)
{
    published_route route;
    route.port = port;
    route.pools = {{"main", 1}};
    return encode_listing(route_listing{.routes = {route}});
}

/// The upstream in force; zero for none.
std::uint64_t instance_in_force(version_store const& store)
{
    auto const listing = store.upstreams();
    return listing ? listing->upstreams.at(0).instance.value() : 0;
}

std::uint16_t port_in_force(version_store const& store)
{
    auto const listing = store.routes();
    return listing ? listing->routes.at(0).port : 0;
}

void take(
    version_store& store,
    std::string const& name,
    std::uint64_t version,
    std::string text)
{
    effect_list effects;
    store.receive(
        time_point{},
        document_fetched{
            std::nullopt, name, document_version(version), std::move(text)},
        effects);
}

version_store make_store()
{
    return {{}, {vm_id(100), failure_domain_id(0)}, seed};
}

} // namespace

Test(registry_documents, need_no_allotment)
{
    // Symptom: no flow is placed though the registry was read. Sequence: a
    // registry is all that the platform publishes. Cause: its documents wait
    // for an allotment as those of organisations do.
    version_store store = make_store();
    cr_expect(store.upstreams() == nullptr);
    cr_expect(store.routes() == nullptr);
    auto const before = store.generation();
    take(store, upstreams, 5, make_upstreams(7));
    cr_expect_eq(instance_in_force(store), 7);
    cr_expect_gt(store.generation(), before);
    take(store, routes, 2, make_routes(443));
    cr_expect_eq(port_in_force(store), 443);
    cr_expect(store.current()->services().empty());
}

Test(registry_documents, bad_texts_keep_the_last_good_one)
{
    // Symptom: a VM forgets its upstreams. Sequence: a newer text that cannot
    // be read arrives. Cause: the old one given up before the check.
    std::string const good = make_upstreams(8);
    std::string const table[] = {
        "", "garbage", good.substr(0, good.size() / 2), brackenlea_text};
    for (std::string const& bad : table)
    {
        version_store store = make_store();
        take(store, upstreams, 5, make_upstreams(7));
        take(store, routes, 5, make_routes(443));
        take(store, upstreams, 6, bad);
        take(store, routes, 6, bad);
        cr_expect_eq(instance_in_force(store), 7, "%s", bad.c_str());
        cr_expect_eq(port_in_force(store), 443, "%s", bad.c_str());
        // Held all the same: no VM asks for it again.
        cr_expect_eq(store.find_document(upstreams)->version.value(), 6);
        take(store, upstreams, 7, make_upstreams(9));
        cr_expect_eq(instance_in_force(store), 9);
    }
}

Test(registry_documents, never_fall)
{
    // Symptom: a flow goes to an upstream that left. Sequence: an older text
    // arrives late, from any source. Cause: the latest arrival taken.
    std::mt19937_64 random(seed);
    version_store store = make_store();
    std::uint64_t highest = 0;
    for (int round = 0; round < 2000; ++round)
    {
        auto const version = 1 + random() % 500;
        bool const is_good = random() % 4 != 0;
        take(
            store, upstreams, version,
            is_good ? make_upstreams(version) : "garbage");
        auto const in_force = instance_in_force(store);
        cr_assert_geq(in_force, highest, "round %d", round);
        highest = in_force;
    }
    cr_expect_gt(highest, 400);
}

Test(registry_documents, spread_and_outlive_a_bad_text)
{
    // Symptom: a VM that joins has no upstreams. Sequence: the platform's
    // newest text cannot be read; a VM joins. Cause: peers give only that one.
    fleet vms(3, 1);
    vms.platform.publish(upstreams, make_upstreams(7));
    vms.platform.publish(routes, make_routes(443));
    vms.run(30);
    vms.platform.publish(upstreams, "garbage");
    vms.run(20);
    auto const joiner = vms.join();
    vms.run(20);
    for (std::size_t vm = 0; vm < vms.size(); ++vm)
    {
        cr_expect_eq(instance_in_force(vms.at(vm)), 7, "VM %zu", vm);
        cr_expect_eq(port_in_force(vms.at(vm)), 443, "VM %zu", vm);
    }
    cr_expect(vms.is_caught_up(joiner));
    cr_expect_eq(vms.count_reports(0, report_kind::document_rejected), 1);
    vms.platform.publish(upstreams, make_upstreams(8));
    vms.run(20);
    cr_expect_eq(instance_in_force(vms.at(joiner)), 8);
}

Test(registry_documents, have_names_of_their_own)
{
    struct table_entry
    {
        char const* name;
        bool is_registry;
        bool is_listed;
    };
    table_entry const table[] = {
        {"registry/routes", true, true},
        {"registry/upstreams", true, true},
        {"registry/upstreams#accepted", false, true},
        {"registry/", false, false},
        {"registry/other", false, false},
        {"organisations/registry", false, true},
    };
    for (auto const& [name, is_registry, is_listed] : table)
    {
        cr_expect_eq(is_registry_name(name), is_registry, "%s", name);
        cr_expect_eq(is_listed_name(name), is_listed, "%s", name);
    }
}
