#include <tagging/tagged_upstreams.hpp>

#include <rating/ejection_bound.hpp>

#include <algorithm>
#include <map>

/// Selection of an upstream by ratings, and spilled openings.
namespace cairnhead
{

void tagged_upstreams::use_ratings(rating_table const& table)
{
    this->ratings = &table;
}

void tagged_upstreams::record_rating(upstream_tag rated)
{
    tagged_upstream* const known = this->find(rated);
    if (known != nullptr)
        known->openings_since_rating.clear();
}

std::optional<upstream_rating> tagged_upstreams::rating_of(
    time_point now, tagged_upstream const& upstream) const
{
    bool const may_be_rated =
        this->ratings != nullptr && this->ratings->size() > 0;
    if (!may_be_rated)
        return std::nullopt;
    return this->ratings->find(now, upstream.tag);
}

std::vector<upstream_tag> tagged_upstreams::ejected_of(
    time_point now, std::span<std::size_t const> members) const
{
    if (this->ratings == nullptr || this->ratings->size() == 0)
        return {};
    std::map<failure_domain_id, std::vector<upstream_rating>> rated_ejected;
    for (std::size_t const index : members)
    {
        tagged_upstream const& upstream = this->upstreams[index];
        auto const rating = this->rating_of(now, upstream);
        if (rating && rating->is_ejected && !upstream.missing_since)
            rated_ejected[upstream.domain].push_back(*rating);
    }
    std::vector<upstream_tag> ejected;
    for (auto const& [domain, ratings_of_domain] : rated_ejected)
    {
        auto const known = std::ranges::count_if(
            members,
            [&, in = domain](std::size_t index)
            {
                tagged_upstream const& upstream = this->upstreams[index];
                return upstream.domain == in && !upstream.missing_since;
            });
        auto const chosen =
            bound_ejections(ratings_of_domain, static_cast<std::size_t>(known));
        ejected.insert(ejected.end(), chosen.begin(), chosen.end());
    }
    std::ranges::sort(ejected);
    return ejected;
}

upstream_verdict tagged_upstreams::verdict_among(
    time_point now,
    tagged_upstream const& upstream,
    std::span<upstream_tag const> ejected) const
{
    upstream_verdict const verdict = this->verdict_on(now, upstream);
    bool const is_ejected = verdict == upstream_verdict::ready &&
                            std::ranges::binary_search(ejected, upstream.tag);
    return is_ejected ? upstream_verdict::ejected : verdict;
}

placement_candidate tagged_upstreams::rate(
    time_point now, tagged_upstream const& upstream, flow_length length) const
{
    // Thousands are rated for one choice, so only what it compares is computed.
    placement_candidate rated;
    rated.domain = upstream.domain;
    rated.rating = this->rating_of(now, upstream);
    rated.slots = this->slots_of(now, upstream);
    if (length == flow_length::few_requests)
        rated.own_openings = upstream.openings_since_rating.at(now);
    else
        rated.flow_load = this->load_of(now, upstream);
    return rated;
}

void tagged_upstreams::choose_by_ratings(
    time_point now,
    opening_kind const& kind,
    std::span<tagged_upstream* const> ready,
    upstream_choice& choice)
{
    if (kind.spill_to.empty() && this->ratings->size() == 0)
        return;
    std::vector<tagged_upstream*> considered;
    for (tagged_upstream* const upstream : ready)
    {
        if (std::ranges::find(kind.spill_to, upstream->domain) !=
            kind.spill_to.end())
            considered.push_back(upstream);
    }
    bool const is_spilled = !considered.empty();
    bool const is_short = kind.length == flow_length::few_requests;
    if (!is_spilled && is_short)
    {
        // Usually the own domain. Where only a few of its upstreams are ready,
        // their flows outweigh the distance to others.
        failure_domain_id const domain = choice.chosen->domain;
        for (tagged_upstream* const upstream : ready)
        {
            if (upstream->domain == domain)
                considered.push_back(upstream);
        }
    }
    if (considered.empty())
        considered.assign(ready.begin(), ready.end());
    std::vector<placement_candidate> rated;
    rated.reserve(considered.size());
    for (tagged_upstream const* const upstream : considered)
        rated.push_back(this->rate(now, *upstream, kind.length));
    bool const has_rating = std::ranges::any_of(
        rated,
        [](placement_candidate const& each)
        {
            return each.rating.has_value();
        });
    if (!is_spilled && !has_rating)
        return;
    std::size_t const index =
        is_short ? this->rated_placement.choose_quicker_of_two(rated)
                 : this->rated_placement.choose_least_loaded(rated);
    choice.chosen = considered[index];
    if (is_spilled)
        choice.rule = flow_rule::spilled;
    else
        choice.rule = is_short ? flow_rule::quicker_of_two
                               : flow_rule::least_loaded_by_speed;
}

std::vector<failure_domain_id> tagged_upstreams::other_ready_domains(
    time_point now, std::string_view pool) const
{
    std::vector<failure_domain_id> found;
    auto const members = this->pools.find(pool);
    if (members == this->pools.end())
        return found;
    for (std::size_t const index : members->second)
    {
        tagged_upstream const& upstream = this->upstreams[index];
        bool const is_new =
            upstream.domain != this->own_domain &&
            std::ranges::find(found, upstream.domain) == found.end();
        if (is_new &&
            this->verdict_on(now, upstream) == upstream_verdict::ready)
            found.push_back(upstream.domain);
    }
    std::ranges::sort(found);
    return found;
}

} // namespace cairnhead
