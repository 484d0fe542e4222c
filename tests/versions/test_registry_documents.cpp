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

/// Encodes a full listing of one upstream that is complete since `version`.
std::string make_upstreams(std::uint64_t instance, std::uint64_t version = 1)
{
    registered_upstream upstream;
    upstream.instance = instance_number(instance);
    upstream.pool = "main";
    upstream.changed_at = document_version(version);
    upstream_listing listing;
    listing.upstreams = {upstream};
    listing.complete_since = document_version(version);
    return encode_listing(listing);
}

/// Encodes a difference to version `after` that adds one upstream.
std::string make_difference(
    std::uint64_t after, std::uint64_t instance, std::uint64_t changed_at)
{
    registered_upstream upstream;
    upstream.instance = instance_number(instance);
    upstream.pool = "main";
    upstream.changed_at = document_version(changed_at);
    upstream_listing changed;
    changed.upstreams = {upstream};
    changed.complete_since = document_version(after);
    changed.is_difference = true;
    return encode_listing(changed);
}

std::size_t count_in_force(version_store const& store)
{
    auto const listing = store.registered().upstreams;
    return listing ? listing->upstreams.size() : 0;
}

/// Encodes a listing of one route at this port.
std::string make_routes(std::uint16_t port)
{
    published_route route;
    route.port = port;
    route.pools = {{"main", 1}};
    return encode_listing(route_listing{.routes = {route}});
}

/// The instance of the upstream in force; zero for none.
std::uint64_t instance_in_force(version_store const& store)
{
    auto const listing = store.registered().upstreams;
    return listing ? listing->upstreams.at(0).instance.value() : 0;
}

std::uint16_t port_in_force(version_store const& store)
{
    auto const listing = store.registered().routes;
    return listing ? listing->routes.at(0).port : 0;
}

void store_fetched(
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
    // Guards against a registry that is read but not in force, so that no flow
    // is placed: the platform publishes only a registry, and its documents wait
    // for an allotment as those of organisations do.
    version_store store = make_store();
    cr_expect(store.registered().upstreams == nullptr);
    cr_expect(store.registered().routes == nullptr);
    auto const before = store.generation();
    store_fetched(store, upstreams, 5, make_upstreams(7));
    cr_expect_eq(instance_in_force(store), 7);
    cr_expect_gt(store.generation(), before);
    store_fetched(store, routes, 2, make_routes(443));
    cr_expect_eq(port_in_force(store), 443);
    cr_expect(store.current()->services().empty());
}

Test(registry_documents, unreadable_texts_keep_the_last_readable_one)
{
    // Guards against a VM that loses its upstreams when a newer text cannot be
    // read, because the old text is dropped before the new one is checked.
    std::string const good = make_upstreams(8);
    std::string const table[] = {
        "", "garbage", good.substr(0, good.size() / 2), brackenlea_text};
    for (std::string const& bad : table)
    {
        version_store store = make_store();
        store_fetched(store, upstreams, 5, make_upstreams(7));
        store_fetched(store, routes, 5, make_routes(443));
        store_fetched(store, upstreams, 6, bad);
        store_fetched(store, routes, 6, bad);
        cr_expect_eq(instance_in_force(store), 7, "%s", bad.c_str());
        cr_expect_eq(port_in_force(store), 443, "%s", bad.c_str());
        // Peers get the readable text, and no VM requests the unreadable one
        // again.
        cr_expect_eq(store.find_document(upstreams)->version.value(), 5);
        effect_list effects;
        store.receive(
            time_point{}, vm_id(7),
            document_listing{
                listing_kind::answer, {{upstreams, document_version(6)}}},
            effects);
        cr_expect(effects.empty(), "%s", bad.c_str());
        store_fetched(store, upstreams, 7, make_upstreams(9, 7));
        cr_expect_eq(instance_in_force(store), 9);
    }
}

Test(registry_documents, never_fall)
{
    // Guards against a flow that is sent to an upstream that left: an older
    // text arrives late, from any source, and the text received last is put in
    // force.
    std::mt19937_64 random(seed);
    version_store store = make_store();
    std::uint64_t highest = 0;
    for (int round = 0; round < 2000; ++round)
    {
        auto const version = 1 + random() % 500;
        bool const is_good = random() % 4 != 0;
        store_fetched(
            store, upstreams, version,
            is_good ? make_upstreams(version, version) : "garbage");
        auto const in_force = instance_in_force(store);
        cr_assert_geq(in_force, highest, "round %d", round);
        highest = in_force;
    }
    cr_expect_gt(highest, 400);
}

Test(registry_documents, reach_joiners_despite_an_unreadable_text)
{
    // Guards against a VM that joins and has no upstreams: the platform's
    // newest text cannot be read, and peers serve only that one.
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
    vms.platform.publish(upstreams, make_upstreams(8, 3));
    vms.run(20);
    cr_expect_eq(instance_in_force(vms.at(joiner)), 8);
}

Test(registry_documents, differences_apply_to_the_version_held)
{
    version_store store = make_store();
    store_fetched(store, upstreams, 5, make_upstreams(7));
    store_fetched(store, upstreams, 8, make_difference(5, 9, 8));
    cr_expect_eq(count_in_force(store), 2);
    // A duplicate, a late text, or a version that is held changes nothing.
    auto const generation = store.generation();
    store_fetched(store, upstreams, 8, make_difference(5, 9, 8));
    store_fetched(store, upstreams, 7, make_difference(5, 10, 7));
    cr_expect_eq(count_in_force(store), 2);
    cr_expect_eq(store.generation(), generation);
}

Test(registry_documents, a_difference_that_does_not_follow_changes_nothing)
{
    // Guards against a VM that lacks upstreams that its peers have although it
    // holds the same version: a difference is lost, and the next one is applied
    // to an older version than it follows.
    version_store store = make_store();
    store_fetched(store, upstreams, 5, make_upstreams(7));
    store_fetched(store, upstreams, 9, make_difference(8, 9, 9));
    cr_expect_eq(count_in_force(store), 1);
    cr_expect_eq(store.find_document(upstreams)->version.value(), 5);
}

Test(registry_documents, a_missed_change_is_fetched)
{
    // Guards against a VM that stays behind: a difference is lost on the
    // dissemination tree, and the VM drops the next one, which does not follow,
    // without fetching the document.
    version_store store = make_store();
    document_peer const peer{vm_id(7), failure_domain_id(0)};
    store.set_peers(time_point{}, {&peer, 1});
    store_fetched(store, upstreams, 5, make_upstreams(7));
    effect_list effects;
    store.receive(
        time_point{}, peer.id,
        registry_change{
            registry_document::upstreams, document_version(9), peer.id,
            make_difference(8, 9, 9)},
        effects);
    cr_assert_eq(effects.size(), 1);
    auto const* const fetch = std::get_if<fetch_document>(&effects.front());
    cr_assert_not_null(fetch);
    cr_expect(fetch->source == peer.id);
    cr_expect_eq(fetch->held.value(), 5);
}

Test(registry_documents, changes_are_relayed_along_a_tree)
{
    // Each VM of a domain receives a change once and relays it to a few others,
    // and no VM fetches a text that fits in a datagram.
    constexpr std::size_t size = 40;
    fleet vms(size, 1, 2);
    vms.platform.publish(upstreams, make_upstreams(7));
    vms.platform.publish(routes, make_routes(443));
    vms.run(30);
    cr_assert(vms.all_have(upstreams, 1));
    auto before = vms.traffic;
    vms.platform.publish(upstreams, make_difference(1, 9, 2));
    vms.run(1);
    cr_expect(vms.all_have(upstreams, 2));
    cr_expect_leq(vms.traffic.changes - before.changes, 2 * (size - 1));
    cr_expect_eq(vms.traffic.peer_fetches, before.peer_fetches);
    for (std::size_t vm = 0; vm < size; ++vm)
        cr_expect_leq(
            vms.traffic.changes_by_sender[vm] - before.changes_by_sender[vm], 8,
            "VM %zu", vm);
}

Test(registry_documents, a_long_change_is_fetched_along_the_tree)
{
    constexpr std::size_t size = 40;
    fleet vms(size, 1, 2);
    vms.platform.publish(upstreams, make_upstreams(7));
    vms.run(30);
    upstream_listing many;
    for (std::uint64_t number = 1; number <= 500; ++number)
    {
        registered_upstream& one = many.upstreams.emplace_back();
        one.instance = instance_number(number * 0x10001);
        one.changed_at = document_version(2);
    }
    vms.platform.publish(upstreams, encode_listing(many));
    vms.traffic = {};
    vms.run(3);
    cr_expect(vms.all_have(upstreams, 2));
    cr_expect_leq(vms.traffic.most_fetches_served, 8);
}

Test(registry_documents, lost_changes_are_recovered)
{
    // Guards against VMs that never receive a change: datagrams are lost on the
    // tree, so that the whole subtree below misses them, and no VM requests the
    // missing change.
    fleet vms(30, 1, 2);
    vms.platform.publish(upstreams, make_upstreams(7));
    vms.run(30);
    std::uint64_t version = 1;
    for (int round = 0; round < 5; ++round)
    {
        vms.lost_changes_percent = 40;
        ++version;
        vms.platform.publish(
            upstreams, make_difference(version - 1, 10 + version, version));
        // A change has to be in force within three seconds.
        vms.run(30);
        cr_expect(vms.all_have(upstreams, version), "round %d", round);
    }
}

Test(registry_documents, have_reserved_names)
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

// Guards against a VM that gets routes and upstreams from peers of an older
// release and never receives the evacuations: it would open no flow.
Test(registry_documents, a_registry_without_evacuations_is_read)
{
    version_settings settings;
    settings.reader_patience = std::chrono::milliseconds(1500);
    vm_identity const self{vm_id(100), failure_domain_id(0)};
    version_store store(settings, self, seed);
    time_point now{std::chrono::hours(1)};
    std::vector<document_peer> peers;
    for (std::uint32_t peer = 1; peer <= 40; ++peer)
        peers.push_back({vm_id(peer), self.domain});
    store.set_peers(now, peers);
    effect_list effects;
    store.receive(
        now, vm_id(1),
        document_listing{
            listing_kind::answer,
            {{routes, document_version(5)}, {upstreams, document_version(5)}}},
        effects);
    for (auto const& [name, text] :
         {std::pair(routes, make_routes(443)),
          std::pair(upstreams, make_upstreams(7))})
        store.receive(
            now, document_fetched{vm_id(1), name, document_version(5), text},
            effects);
    for (std::uint32_t tick = 0; tick <= 60; ++tick)
    {
        now += std::chrono::milliseconds(100);
        // A peer reads the platform, so this VM is not needed as a reader.
        store.receive(now, vm_id(1), reading_heartbeat{}, effects);
        store.tick(now, effects);
    }
    cr_expect(
        store.is_reader(), "no reader although peers have no evacuations");
    store.receive(
        now,
        document_fetched{
            std::nullopt, std::string(evacuation_document_name),
            document_version(6), encode_listing(evacuation_listing{{"perth"}})},
        effects);
    store.tick(now, effects);
    cr_expect_not(store.is_reader());
    cr_expect_eq(store.registered().evacuations->domains.size(), 1);
}

// Guards against an evacuation that reverts to an older version, and one that
// is not served to peers.
Test(registry_documents, evacuations_spread_and_never_revert)
{
    std::string const evacuations(evacuation_document_name);
    version_store store = make_store();
    store_fetched(
        store, evacuations, 5, encode_listing(evacuation_listing{{"perth"}}));
    store_fetched(store, evacuations, 4, encode_listing(evacuation_listing{}));
    store_fetched(store, evacuations, 6, "garbage");
    cr_expect_eq(store.registered().evacuations->domains.size(), 1);
    auto const held = store.find_document(evacuations);
    cr_assert(held.has_value());
    cr_expect_eq(held->version.value(), 5);
    cr_expect_eq(decode_evacuations(*held->text).domains.size(), 1);
    store_fetched(store, evacuations, 7, encode_listing(evacuation_listing{}));
    cr_expect(store.registered().evacuations->domains.empty());
}

// Guards against a registry of the planned size that VMs refuse as too long.
Test(registry_documents, twelve_thousand_upstreams_fit_a_document)
{
    constexpr std::uint64_t count = 12'000;
    std::mt19937_64 random(seed);
    upstream_listing listing;
    for (std::uint64_t number = 0; number < count; ++number)
        listing.upstreams.push_back(
            {.instance =
                 instance_number(number << 28U | random() % (1U << 28U)),
             .address = ipv4_address(static_cast<std::uint32_t>(random())),
             .port = static_cast<std::uint16_t>(random()),
             .is_draining = number % 2 == 0,
             .slots = 1 + static_cast<std::uint32_t>(random() % 16),
             .cold_milliseconds = static_cast<std::uint32_t>(random() % 60'000),
             .pool = "pool-" + std::to_string(number % 50),
             .failure_domain = "domain-" + std::to_string(number % 7),
             .life = incarnation(1'772'409'600'000 + random() % (1ULL << 36U)),
             .changed_at = document_version(random() % (1ULL << 32U))});
    cr_expect_leq(
        encode_listing(listing).size(), maximum_text_bytes, "%zu",
        encode_listing(listing).size());
}
