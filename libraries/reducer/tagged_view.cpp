#include <reducer/tagged_view.hpp>

#include <base/hash.hpp>
#include <base/ipv4.hpp>

#include <absl/container/flat_hash_set.h>
#include <algorithm>

namespace cairnhead
{

namespace
{

/// `pool`, or `pool:90+other:10` for a split route.
std::string name_pools(published_route const& route)
{
    if (route.pools.size() == 1)
        return route.pools.front().pool;
    std::string name;
    for (weighted_pool const& part : route.pools)
    {
        if (!name.empty())
            name += '+';
        name += part.pool + ':' + std::to_string(part.weight);
    }
    return name;
}

bool serves(published_route const& route, std::string_view pool)
{
    return std::ranges::any_of(
        route.pools,
        [pool](weighted_pool const& part)
        {
            return part.pool == pool && part.weight > 0;
        });
}

upstream_id id_of(tagged_upstream const& shown)
{
    return upstream_id(shown.registered.address.value());
}

upstream make_upstream(tagged_upstream const& shown)
{
    upstream made;
    made.id = id_of(shown);
    made.name = name_of_start(shown.registered);
    made.domain = shown.domain;
    made.domain_name = shown.registered.failure_domain;
    made.labels = {{"pool", shown.registered.pool}};
    made.slots = shown.registered.slots;
    made.is_draining = shown.registered.is_draining;
    return made;
}

service make_service(
    published_route const& route, std::span<tagged_upstream const> upstreams)
{
    service made;
    std::string const place =
        format_ipv4(route.address) + ':' + std::to_string(route.port);
    made.id = make_service_id(registry_organisation_name, place);
    made.organisation = make_organisation_id(registry_organisation_name);
    made.name = name_service(route);
    made.address = {route.address, route.port, transport_protocol::tcp};
    made.traffic = route.traffic;
    made.is_idempotent = route.is_idempotent;
    for (tagged_upstream const& each : upstreams)
    {
        if (!each.missing_since && serves(route, each.registered.pool))
            made.upstreams.push_back(id_of(each));
    }
    std::ranges::sort(made.upstreams);
    return made;
}

upstream_condition condition_for(upstream_verdict verdict)
{
    switch (verdict)
    {
    case upstream_verdict::draining:
        return upstream_condition::draining;
    case upstream_verdict::unreachable:
    case upstream_verdict::domain_unreachable:
        return upstream_condition::failed;
    default:
        return upstream_condition::healthy;
    }
}

bool is_spared(upstream_verdict verdict)
{
    return verdict == upstream_verdict::avoided ||
           verdict == upstream_verdict::ejected ||
           condition_for(verdict) == upstream_condition::failed;
}

shown_upstream make_shown_upstream(upstream_candidate const& known)
{
    upstream_view const& belief = known.view;
    placement::upstream_view const state{
        .upstream = upstream_id(known.registered.address.value()),
        .flows = known.flows,
        .condition = condition_for(belief.verdict),
        .reported_load_permille = 0,
        .is_ejected = is_spared(belief.verdict),
        .is_cold = belief.cold_until.has_value()};
    return {state, known.registered.slots, belief};
}

} // namespace

std::string name_service(published_route const& route)
{
    return std::string(registry_organisation_name) + '/' + name_pools(route);
}

std::shared_ptr<directory const> make_shown_directory(
    route_listing const& routes, std::span<tagged_upstream const> upstreams)
{
    std::vector<service> services;
    services.reserve(routes.routes.size());
    for (published_route const& route : routes.routes)
        services.push_back(make_service(route, upstreams));
    std::vector<upstream> shown;
    absl::flat_hash_set<upstream_id> seen;
    for (tagged_upstream const& each : upstreams)
    {
        // While an address changes hands, two may claim it for a moment.
        if (!each.missing_since && seen.insert(id_of(each)).second)
            shown.push_back(make_upstream(each));
    }
    return std::make_shared<directory const>(
        std::move(services), std::move(shown));
}

std::vector<shown_upstream>
make_shown_upstreams(std::span<upstream_candidate const> registered)
{
    std::vector<shown_upstream> shown;
    for (upstream_candidate const& each : registered)
        shown.push_back(make_shown_upstream(each));
    std::ranges::sort(
        shown, {},
        [](shown_upstream const& each)
        {
            return each.state.upstream;
        });
    return shown;
}

} // namespace cairnhead
