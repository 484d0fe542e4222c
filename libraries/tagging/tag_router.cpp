#include <tagging/tag_router.hpp>

#include <base/hash.hpp>

#include <numeric>

namespace cairnhead
{

namespace
{

using std::chrono_literals::operator""s;

/// Expired flows and upstreams are looked for this often.
constexpr duration cleaning_period = 1s;

/// An opening that nobody confirmed is over after this: callers give up
/// earlier.
constexpr duration opening_lifetime = 3s;

/// A flow that the caller closed still acknowledges for a while.
constexpr duration closing_lifetime = 2s;

/// A caller's SYN this long after the flow's own is no copy of it: the caller
/// uses the ports again.
constexpr duration copy_window = 3s;

endpoint address_of(published_route const& route)
{
    return {route.address, route.port, transport_protocol::tcp};
}

} // namespace

tag_router::tag_router(tagging_settings const& chosen, std::uint64_t seed)
    : settings(chosen), known(chosen, seed), flows(chosen.maximum_flows)
{
}

void tag_router::set_listings(
    time_point now,
    std::shared_ptr<route_listing const> new_routes,
    std::shared_ptr<upstream_listing const> new_upstreams)
{
    if (new_routes != nullptr && new_routes != this->routes)
    {
        this->routes = std::move(new_routes);
        this->route_by_address.clear();
        for (published_route const& route : this->routes->routes)
            this->route_by_address[address_of(route)] = &route;
    }
    if (new_upstreams != nullptr && new_upstreams != this->listed)
    {
        this->listed = std::move(new_upstreams);
        this->known.update(now, *this->listed);
    }
}

void tag_router::route(
    time_point now, packet_arrived const& packet, effect_list& effects)
{
    bool const is_opening = packet.phase == packet_phase::opening ||
                            packet.phase == packet_phase::opening_with_data;
    if (is_opening)
        return this->route_opening(now, packet, effects);
    this->route_by_tag(now, packet, effects);
}

void tag_router::route_opening(
    time_point now, packet_arrived const& packet, effect_list& effects)
{
    tagged_flow* const flow = this->flows.find(packet.flow);
    bool const is_copy = flow != nullptr &&
                         now < flow->opened_at + copy_window &&
                         flow->state != tagged_flow_state::closing;
    if (is_copy)
        return this->repeat_opening(now, packet, *flow, effects);
    this->forget(packet.flow);
    this->place_opening(now, packet, upstream_tag(), effects);
}

void tag_router::repeat_opening(
    time_point now,
    packet_arrived const& packet,
    tagged_flow& flow,
    effect_list& effects)
{
    tagged_upstream* const upstream = this->known.find(flow.upstream);
    // Counted from when this VM sent the opening, not from when the caller
    // did: a VM that was held up finds the opening and its copy together, and
    // would take every upstream for dead.
    bool const is_unanswered =
        flow.state == tagged_flow_state::opening &&
        now >= flow.opened_at + this->settings.answer_timeout;
    if (upstream != nullptr && !is_unanswered)
        return send(packet, *upstream, effects);
    if (upstream != nullptr)
        this->known.note_unanswered(now, *upstream);
    upstream_tag const excluded = flow.upstream;
    this->forget(packet.flow);
    // An opening carries no data, and the caller answers the first upstream
    // that answers it; so asking a second one cannot run anything twice.
    this->place_opening(now, packet, excluded, effects);
}

void tag_router::place_opening(
    time_point now,
    packet_arrived const& packet,
    upstream_tag excluded,
    effect_list& effects)
{
    auto const found = this->route_by_address.find(packet.destination);
    if (found == this->route_by_address.end())
    {
        effects.emplace_back(
            drop_packet{packet.token, drop_reason::unknown_destination});
        return;
    }
    std::string_view const pool = this->pool_of(*found->second, packet.flow);
    tagged_upstream* chosen = this->known.choose(now, pool, excluded);
    if (chosen == nullptr)
        chosen = this->known.choose(now, pool, upstream_tag());
    if (chosen == nullptr)
    {
        effects.emplace_back(refuse_opening{
            .token = packet.token,
            .organisation = {},
            .style = refusal_style::reset,
            .reason = refusal_reason::no_healthy_upstream,
            .retry_at = now + 1s});
        return;
    }
    this->remember(
        packet.flow, {.upstream = chosen->tag,
                      .state = tagged_flow_state::opening,
                      .opened_at = now,
                      .expires_at = now + opening_lifetime});
    send(packet, *chosen, effects);
}

void tag_router::route_by_tag(
    time_point now, packet_arrived const& packet, effect_list& effects)
{
    tagged_upstream* const upstream = this->known.find(*packet.tag);
    if (upstream == nullptr)
    {
        // A reset could end a flow that another VM knows; the caller repeats
        // its packet, and by then this VM may have learned the upstream.
        effects.emplace_back(
            drop_packet{packet.token, drop_reason::unknown_flow});
        return;
    }
    this->follow(now, packet);
    send(packet, *upstream, effects);
}

void tag_router::follow(time_point now, packet_arrived const& packet)
{
    if (packet.phase == packet_phase::reset)
        return this->forget(packet.flow);
    tagged_flow* flow = this->flows.find(packet.flow);
    if (flow != nullptr && flow->upstream != *packet.tag)
    {
        // The caller answered the other of two upstreams that were asked.
        this->forget(packet.flow);
        flow = nullptr;
    }
    if (flow == nullptr)
    {
        // Opened through another VM.
        this->remember(
            packet.flow, {.upstream = *packet.tag,
                          .state = tagged_flow_state::established,
                          .opened_at = now - copy_window,
                          .expires_at = now + this->settings.idle_timeout});
        flow = this->flows.find(packet.flow);
        if (flow == nullptr)
            return;
    }
    if (flow->state == tagged_flow_state::opening)
        this->confirm(now, *flow);
    if (packet.phase == packet_phase::closing)
        flow->state = tagged_flow_state::closing;
    flow->expires_at = flow->state == tagged_flow_state::closing
                           ? now + closing_lifetime
                           : now + this->settings.idle_timeout;
}

void tag_router::confirm(time_point now, tagged_flow& flow)
{
    flow.state = tagged_flow_state::established;
    tagged_upstream* const upstream = this->known.find(flow.upstream);
    if (upstream != nullptr)
        tagged_upstreams::note_answered(now, *upstream);
}

void tag_router::remember(flow_id flow, tagged_flow const& added)
{
    if (this->flows.insert(flow, added) == nullptr)
        return;
    tagged_upstream* const upstream = this->known.find(added.upstream);
    if (upstream != nullptr)
        ++upstream->flows;
}

void tag_router::forget(flow_id flow)
{
    tagged_flow const* const held = this->flows.find(flow);
    if (held == nullptr)
        return;
    this->uncount(*held);
    this->flows.remove(flow);
}

void tag_router::uncount(tagged_flow const& flow)
{
    tagged_upstream* const upstream = this->known.find(flow.upstream);
    if (upstream != nullptr && upstream->flows > 0)
        --upstream->flows;
}

void tag_router::tick(time_point now)
{
    if (now < this->next_cleaning_at)
        return;
    this->next_cleaning_at = now + cleaning_period;
    this->flows.expire(
        now,
        [this](tagged_flow const& expired)
        {
            this->uncount(expired);
        });
    this->known.forget_old(now);
}

bool tag_router::is_informed() const
{
    return this->routes != nullptr && this->listed != nullptr;
}

std::span<tagged_upstream const> tag_router::upstreams() const
{
    return this->known.all();
}

std::size_t tag_router::flow_count() const
{
    return this->flows.size();
}

std::string_view
tag_router::pool_of(published_route const& route, flow_id flow) const
{
    std::uint64_t const total = std::accumulate(
        route.pools.begin(), route.pools.end(), std::uint64_t{0},
        [](std::uint64_t sum, weighted_pool const& part)
        {
            return sum + part.weight;
        });
    if (total == 0)
        return {};
    // By the flow's hash, so that all VMs send its copies to one pool.
    std::uint64_t point = hash_pair(flow.value(), 0) % total;
    for (weighted_pool const& part : route.pools)
    {
        if (point < part.weight)
            return part.pool;
        point -= part.weight;
    }
    return {};
}

void tag_router::send(
    packet_arrived const& packet,
    tagged_upstream const& upstream,
    effect_list& effects)
{
    registered_upstream const& at = upstream.registered;
    effects.emplace_back(send_tagged{
        packet.token, {at.address, at.port, at.instance}, upstream.tag});
}

} // namespace cairnhead
