#include <runtime/view_metrics.hpp>

#include <base/hash.hpp>
#include <model/directory.hpp>
#include <registry/registry.hpp>

#include <algorithm>
#include <vector>

namespace cairnhead
{

namespace
{

void count_member(gauge_values& values, member const& counted)
{
    switch (counted.status)
    {
    case member_status::alive:
    case member_status::leaving:
        ++values.members_alive;
        return;
    case member_status::suspect:
        ++values.members_suspect;
        return;
    case member_status::dead:
        ++values.members_dead;
        return;
    }
}

/// The part of `organisation/name` before the slash.
std::string_view organisation_of(service const& named)
{
    std::string_view const whole = named.name;
    return whole.substr(0, whole.find('/'));
}

std::vector<organisation_name> organisations_of(directory const& declarations)
{
    std::vector<organisation_name> names;
    // Services are sorted by name, so those of one organisation are together.
    for (service const& each : declarations.services())
    {
        if (!names.empty() && names.back().id == each.organisation)
            continue;
        names.push_back({each.organisation, organisation_of(each)});
    }
    return names;
}

/// Flows whose packets carry tags count as one organisation's.
std::vector<organisation_name> const registry_name{
    {make_organisation_id(registry_organisation_name),
     registry_organisation_name}};

void count_upstream(
    time_point now,
    tagged_upstream const& counted,
    reducer_gauges const& all,
    belief_gauges& values)
{
    bool const is_evacuated =
        std::ranges::find(
            all.evacuated_domains, counted.registered.failure_domain) !=
        all.evacuated_domains.end();
    if (is_evacuated && !counted.missing_since)
        ++values.upstreams_evacuated;
    else if (counted.missing_since)
        ++values.upstreams_missing;
    else if (counted.registered.is_draining)
        ++values.upstreams_draining;
    else if (counted.reach.is_unreachable(now))
        ++values.upstreams_unreachable;
    else if (now < counted.avoided_until)
        ++values.upstreams_avoided;
    else
        ++values.upstreams_ready;
}

} // namespace

belief_gauges count_beliefs(time_point now, reducer_gauges const& counted)
{
    belief_gauges values;
    for (tagged_upstream const& each : counted.upstreams)
        count_upstream(now, each, counted, values);
    values.evacuated_domains = counted.evacuated_domains.size();
    values.ratings_in_force = counted.ratings_in_force;
    values.outlier_ejections = counted.ratings.ejections;
    values.observation_messages_sent = counted.ratings.observations_sent;
    values.observation_messages_received =
        counted.ratings.observations_received;
    values.rating_messages_sent = counted.ratings.ratings_sent;
    values.rating_messages_received = counted.ratings.ratings_received;
    registry_knowledge const& known = counted.registry;
    if (known.routes != document_version())
        values.documents.push_back(
            {std::string(route_document_name), known.routes,
             now - known.routes_since});
    if (known.upstreams != document_version())
        values.documents.push_back(
            {std::string(upstream_document_name), known.upstreams,
             now - known.upstreams_since});
    if (known.evacuations != document_version())
        values.documents.push_back(
            {std::string(evacuation_document_name), known.evacuations,
             now - known.evacuations_since});
    return values;
}

void update_gauges(metrics& measured, reducer_gauges const& counted)
{
    gauge_values values;
    values.pins = counted.flows;
    for (member const& known : counted.members)
        count_member(values, known);
    values.documents_generation = counted.documents_generation;
    if (counted.state != serving_state::view_expired)
        values.view = view_freshness::fresh;
    measured.set_gauges(values);
    if (counted.declarations != nullptr)
        measured.name_organisations(organisations_of(*counted.declarations));
    else
        measured.name_organisations(registry_name);
}

} // namespace cairnhead
