#include <tagging/tagged_upstreams.hpp>

#include <base/hash.hpp>

#include <algorithm>
#include <utility>

/// Selection of an upstream for an opening.
namespace cairnhead
{

namespace
{

constexpr double whole_percent = 100.0;

/// Maximum of the random part of an upstream's load. It keeps VMs that see the
/// same loads from all choosing the same upstream.
constexpr double tie_breaking_load = 0.01;

} // namespace

void tagged_upstreams::set_evacuated(
    time_point now, std::span<std::string const> names)
{
    absl::flat_hash_set<failure_domain_id> next;
    for (std::string const& name : names)
        next.insert(make_failure_domain_id(name));
    auto const before = std::exchange(this->evacuated, std::move(next));
    for (tagged_upstream& one : this->upstreams)
    {
        bool const is_back = before.contains(one.domain) &&
                             !this->evacuated.contains(one.domain);
        pool_warmup const* const warmup = this->warmup_of(one);
        if (is_back && warmup != nullptr)
            one.cold_until = std::max(one.cold_until, now + warmup->cold_start);
    }
}

void tagged_upstreams::set_warmups(std::span<pool_warmup const> listed)
{
    this->warmups.clear();
    for (pool_warmup const& warmup : listed)
        this->warmups.emplace(warmup.pool, warmup);
}

void tagged_upstreams::set_domain_vms(vm_id self, std::span<vm_id const> vms)
{
    this->opener.set_vms(self, vms);
}

pool_warmup const*
tagged_upstreams::warmup_of(tagged_upstream const& upstream) const
{
    auto const found = this->warmups.find(upstream.registered.pool);
    return found == this->warmups.end() ? nullptr : &found->second;
}

bool tagged_upstreams::is_cold_and_full(
    time_point now, tagged_upstream const& upstream) const
{
    if (now >= upstream.cold_until)
        return false;
    pool_warmup const* const warmup = this->warmup_of(upstream);
    bool const has_limit = warmup != nullptr && warmup->openings_per_second > 0;
    if (!has_limit)
        return false;
    cold_limit const limit = make_cold_limit(
        warmup->openings_per_second, this->settings.cold_overrun,
        this->settings.cold_slack);
    bool const is_opener =
        upstream.domain == this->own_domain &&
        this->opener.is_appointed(upstream.registered.instance);
    return !is_opener ||
           !upstream.slow_start_openings.may_open(now, limit.per_vm);
}

bool tagged_upstreams::may_resend_opening(
    time_point now, tagged_upstream const& upstream) const
{
    switch (this->verdict_on(now, upstream))
    {
    case upstream_verdict::draining:
    case upstream_verdict::gone:
    case upstream_verdict::evacuated:
        return false;
    default:
        return true;
    }
}

bool tagged_upstreams::may_repeat_opening(
    time_point now, tagged_upstream const& upstream) const
{
    auto const verdict = this->verdict_on(now, upstream);
    return verdict != upstream_verdict::missing &&
           verdict != upstream_verdict::unreachable &&
           this->may_resend_opening(now, upstream);
}

void tagged_upstreams::record_opening(
    time_point now, tagged_upstream& upstream) const
{
    if (now < upstream.cold_until)
        upstream.slow_start_openings.record_opening(now);
    if (this->ratings != nullptr)
        upstream.openings_since_rating.add(now, 1);
}

upstream_choice tagged_upstreams::choose(
    time_point now,
    std::string_view pool,
    upstream_tag excluded,
    opening_kind const& kind)
{
    upstream_choice best;
    best.pool = pool;
    auto const members = this->pools.find(pool);
    if (members == this->pools.end())
        return best;
    best.pool_size = static_cast<std::uint32_t>(members->second.size());
    auto best_tier = selection_tier::unusable;
    double best_load = 0;
    std::uniform_real_distribution<double> tie_breaker(0.0, tie_breaking_load);
    bool const uses_ratings = kind.uses_ratings && this->ratings != nullptr;
    std::vector<upstream_tag> ejected;
    if (uses_ratings)
        ejected = this->ejected_of(now, members->second);
    std::vector<tagged_upstream*> ready;
    for (std::size_t const index : members->second)
    {
        tagged_upstream& candidate = this->upstreams[index];
        auto const verdict = this->verdict_among(now, candidate, ejected);
        auto const tier = tier_for(verdict);
        best.evacuated += verdict == upstream_verdict::evacuated ? 1 : 0;
        best.cold += verdict == upstream_verdict::cold ? 1 : 0;
        if (tier == selection_tier::unusable || candidate.tag == excluded)
            continue;
        best.ready += tier == selection_tier::ready ? 1 : 0;
        if (uses_ratings && tier == selection_tier::ready)
            ready.push_back(&candidate);
        double const load =
            this->load_of(now, candidate) + tie_breaker(this->random);
        bool const is_better =
            tier < best_tier || (tier == best_tier && load < best_load);
        if (!is_better)
            continue;
        best.chosen = &candidate;
        best_tier = tier;
        best_load = load;
    }
    best.rule = rule_for(best_tier);
    if (!ready.empty())
        this->choose_by_ratings(now, kind, ready, best);
    if (best.chosen == nullptr && best.cold > 0)
        best.rule = flow_rule::only_cold_left;
    else if (best.chosen == nullptr && best.evacuated > 0)
        best.rule = flow_rule::only_evacuated_left;
    return best;
}

flow_rule tagged_upstreams::rule_for(selection_tier chosen)
{
    switch (chosen)
    {
    case selection_tier::ready:
        return flow_rule::least_loaded;
    case selection_tier::ejected:
        return flow_rule::only_ejected_left;
    case selection_tier::avoided:
        return flow_rule::only_avoided_left;
    case selection_tier::missing:
        return flow_rule::only_missing_left;
    case selection_tier::unusable:
        break;
    }
    return flow_rule::no_upstream;
}

tagged_upstreams::selection_tier
tagged_upstreams::tier_for(upstream_verdict verdict)
{
    switch (verdict)
    {
    case upstream_verdict::ready:
        return selection_tier::ready;
    case upstream_verdict::ejected:
        return selection_tier::ejected;
    case upstream_verdict::avoided:
    case upstream_verdict::unreachable:
    case upstream_verdict::domain_unreachable:
        return selection_tier::avoided;
    case upstream_verdict::missing:
        return selection_tier::missing;
    case upstream_verdict::gone:
    case upstream_verdict::draining:
    case upstream_verdict::evacuated:
    case upstream_verdict::cold:
        break;
    }
    return selection_tier::unusable;
}

upstream_verdict tagged_upstreams::verdict_on(
    time_point now, tagged_upstream const& upstream) const
{
    // A draining upstream gets no new flows even if no other is left: a flow
    // that it accepts now would be cut when it stops.
    if (upstream.registered.is_draining)
        return upstream_verdict::draining;
    if (this->evacuated.contains(upstream.domain))
        return upstream_verdict::evacuated;
    if (this->is_address_taken_over(upstream))
        return upstream_verdict::gone;
    if (upstream.missing_since)
    {
        bool const may_be_running =
            now < *upstream.missing_since + this->settings.missing_grace;
        return may_be_running ? upstream_verdict::missing
                              : upstream_verdict::gone;
    }
    if (this->is_cold_and_full(now, upstream))
        return upstream_verdict::cold;
    if (upstream.reach.is_unreachable(now))
        return upstream_verdict::unreachable;
    if (this->domains.is_unreachable(upstream.domain))
        return upstream_verdict::domain_unreachable;
    return now < upstream.avoided_until ? upstream_verdict::avoided
                                        : upstream_verdict::ready;
}

double
tagged_upstreams::load_of(time_point now, tagged_upstream const& upstream) const
{
    double const distance_factor =
        upstream.domain == this->own_domain
            ? 1.0
            : static_cast<double>(this->settings.remote_load_factor);
    return distance_factor * (upstream.flows + 1) /
           this->slots_of(now, upstream);
}

double tagged_upstreams::slots_of(
    time_point now, tagged_upstream const& upstream) const
{
    double const slow_start_factor =
        now < upstream.cold_until
            ? this->settings.cold_share_percent / whole_percent
            : 1.0;
    double const slots = std::max(upstream.registered.slots, std::uint32_t{1});
    return slots * slow_start_factor;
}

} // namespace cairnhead
