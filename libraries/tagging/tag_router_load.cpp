#include <tagging/tag_router.hpp>

#include <base/hash.hpp>

#include <algorithm>
#include <cmath>

/// What openings meet where load exceeds capacity: spill to other failure
/// domains, and refusal by priority.
namespace cairnhead
{

namespace
{

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

/// Shares are drawn in thousandths by the flow's hash, so that retransmissions
/// of an opening get the same answer.
constexpr std::uint64_t whole_permille = 1000;

/// Seeds of these draws. One of 0 draws the pool of a split route.
constexpr std::uint64_t refusal_draw = 1;
constexpr std::uint64_t spill_draw = 2;

/// Flows with fewer requests than this are short.
constexpr double requests_of_long_flow = 2.0;

/// An earlier answer of the own failure domain shows no wait, and an earlier
/// one of another domain does not keep openings from it. The latter is as long
/// as a rating is in force: few answers come from there.
constexpr duration own_answer_lifetime = 1s;
constexpr duration other_answer_lifetime = 3s;

/// Pools without openings for this long are forgotten.
constexpr duration load_lifetime = 10s;

/// Taken for the round trip between failure domains until it is learned.
constexpr duration assumed_round_trip = 5ms;

double draw_permille(flow_id flow, std::uint64_t seed)
{
    return static_cast<double>(hash_pair(flow.value(), seed) % whole_permille);
}

bool is_drawn(flow_id flow, std::uint64_t seed, double share)
{
    return draw_permille(flow, seed) < whole_permille * share;
}

} // namespace

bool tag_router::follows_answer_times(published_route const& route) const
{
    return this->settings.placement == placement_rule::answer_times &&
           route.priority.has_value() &&
           route.target_latency > duration::zero();
}

flow_length
tag_router::flow_length_of(time_point now, published_route const& route) const
{
    auto const known = this->baselines.find(
        {route.address, route.port, transport_protocol::tcp});
    bool const is_short =
        known != this->baselines.end() &&
        known->second.requests_per_flow(now) < requests_of_long_flow;
    return is_short ? flow_length::few_requests : flow_length::many_requests;
}

opening_kind tag_router::kind_of(
    time_point now, published_route const& route, flow_id flow) const
{
    if (!this->follows_answer_times(route))
        return {};
    opening_kind kind{
        .uses_ratings = true, .length = this->flow_length_of(now, route)};
    auto const load = this->pool_loads.find(this->pool_of(route, flow));
    if (load == this->pool_loads.end())
        return kind;
    double const share = load->second.spill.share_of(now, kind.length);
    if (is_drawn(flow, spill_draw, share))
        kind.spill_to = load->second.spill_to;
    return kind;
}

void tag_router::record_load(
    time_point now,
    published_route const& route,
    flow_id flow,
    effect_list& effects)
{
    if (!this->follows_answer_times(route))
        return;
    std::string_view const pool = this->pool_of(route, flow);
    auto found = this->pool_loads.find(pool);
    if (found == this->pool_loads.end())
        found = this->pool_loads.emplace(pool, pool_load()).first;
    pool_load& load = found->second;
    load.opened_at = now;
    load.admission.record_opening(now, *route.priority);
    load.spill.record_opening(now, this->flow_length_of(now, route));
    auto const baseline = this->baselines.find(
        {route.address, route.port, transport_protocol::tcp});
    // Routes whose answers carry no time do not know what is usual; those of
    // others of the pool tell.
    if (baseline == this->baselines.end() || !baseline->second.usual_time() ||
        !load.spill.is_update_due(now))
        return;
    load.usual_time = *baseline->second.usual_time();
    bool const was_spilling = load.spill.is_spilling();
    this->update_spill(now, found->first, load);
    if (load.spill.is_spilling() != was_spilling)
        this->report_spill(now, found->first, load, effects);
}

void tag_router::forget_idle_loads(time_point now, effect_list& effects)
{
    for (auto& [pool, load] : this->pool_loads)
    {
        if (!load.spill.is_spilling() || !load.spill.is_idle(now))
            continue;
        load.spill.stop();
        this->report_spill(now, pool, load, effects);
    }
    std::erase_if(
        this->pool_loads,
        [now](auto const& entry)
        {
            return now > entry.second.opened_at + load_lifetime;
        });
}

void tag_router::update_spill(
    time_point now, std::string_view pool, pool_load& load)
{
    spill_evidence evidence{
        .own = this->mean_answer_of(
            now, pool, this->own_domain, own_answer_lifetime),
        .other = {},
        .usual = load.usual_time,
        .round_trip = assumed_round_trip};
    // Finding out where upstreams are ready takes a look at all of them.
    bool const may_spill =
        load.spill.is_spilling() ||
        (evidence.own && spill_control::is_wait(*evidence.own));
    if (!may_spill)
        return load.spill.update(now, evidence);
    auto const others = this->upstream_table.other_ready_domains(now, pool);
    if (others.empty())
        return load.spill.stop();
    this->add_other_domains(now, pool, others, evidence, load.spill_to);
    load.spill.update(now, evidence);
}

void tag_router::add_other_domains(
    time_point now,
    std::string_view pool,
    std::span<failure_domain_id const> others,
    spill_evidence& evidence,
    std::vector<failure_domain_id>& spill_to) const
{
    auto const own = this->answer_times.find(now, pool, this->own_domain);
    duration least = duration::max();
    std::vector<duration> excesses;
    for (failure_domain_id const domain : others)
    {
        auto const known = this->answer_times.find(now, pool, domain);
        duration const round_trip =
            known && own ? std::max(known->quickest - own->quickest, duration())
                         : assumed_round_trip;
        auto const mean =
            this->mean_answer_of(now, pool, domain, other_answer_lifetime);
        duration const excess = mean ? mean->excess : round_trip;
        excesses.push_back(excess);
        if (excess >= least)
            continue;
        least = excess;
        evidence.other = mean;
        evidence.round_trip = round_trip;
    }
    // Openings go to the domains that are about as quick as the quickest one.
    spill_to.clear();
    for (std::size_t index = 0; index < others.size(); ++index)
    {
        if (excesses[index] <= least + evidence.usual / 2)
            spill_to.push_back(others[index]);
    }
}

std::optional<mean_answer_time> tag_router::mean_answer_of(
    time_point now,
    std::string_view pool,
    failure_domain_id domain,
    duration lifetime) const
{
    auto const known = this->answer_times.find(now, pool, domain);
    if (!known || now > known->latest_at + lifetime)
        return std::nullopt;
    return mean_answer_time{known->relative, known->excess};
}

void tag_router::report_spill(
    time_point now,
    std::string_view pool,
    pool_load const& load,
    effect_list& effects) const
{
    std::vector<report_fact> facts;
    auto const own = this->answer_times.find(now, pool, this->own_domain);
    if (own)
        facts.push_back(
            {"own_relative_permille",
             std::to_string(std::llround(own->relative * whole_permille))});
    std::string names;
    for (failure_domain_id const domain : load.spill_to)
    {
        if (!names.empty())
            names += ',';
        names += this->name_of(domain);
    }
    facts.push_back({"failure_domains", names});
    effects.emplace_back(report{
        load.spill.is_spilling() ? report_kind::spill_started
                                 : report_kind::spill_stopped,
        std::string(pool),
        {},
        std::move(facts)});
}

std::optional<flow_rule> tag_router::refusal_for_delay(
    time_point now, packet_arrived const& packet, published_route const& route)
{
    // A reset would end a flow that is established by now.
    bool const has_target = route.target_latency > duration::zero();
    if (may_be_placed_elsewhere(packet) || !has_target)
        return std::nullopt;
    std::string_view const pool = this->pool_of(route, packet.flow);
    auto const control = this->delay_controls.find(pool);
    if (control == this->delay_controls.end())
        return std::nullopt;
    double const share = control->second.refusal_share(now);
    bool const is_refused_by_share = is_drawn(packet.flow, refusal_draw, share);
    auto const load = this->pool_loads.find(pool);
    bool const has_priority =
        this->follows_answer_times(route) && load != this->pool_loads.end();
    if (!has_priority)
        return is_refused_by_share ? std::optional(flow_rule::queue_too_long)
                                   : std::nullopt;
    if (load->second.spill.has_room(
            load->second.usual_time, route.target_latency))
        return std::nullopt;
    double const own_share =
        load->second.admission.refusal_share(now, *route.priority, share);
    if (!is_drawn(packet.flow, refusal_draw, own_share))
        return std::nullopt;
    return is_refused_by_share ? flow_rule::queue_too_long
                               : flow_rule::less_urgent;
}

} // namespace cairnhead
