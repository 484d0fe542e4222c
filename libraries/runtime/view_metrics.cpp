#include <runtime/view_metrics.hpp>

#include <model/directory.hpp>

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

} // namespace

void update_gauges(metrics& measured, reducer_view const& view)
{
    gauge_values values;
    values.pins = view.pins;
    for (member const& known : view.members)
        count_member(values, known);
    values.documents_generation = view.documents_generation;
    if (view.state != serving_state::view_expired)
        values.view = view_freshness::fresh;
    measured.set_gauges(values);
    if (view.declarations != nullptr)
        measured.name_organisations(organisations_of(*view.declarations));
}

} // namespace cairnhead
