#include <tagging/tag_router.hpp>

#include <base/hash.hpp>
#include <base/ipv4.hpp>

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

tag_router::tag_router(
    tagging_settings const& chosen,
    failure_domain_id own_domain,
    std::uint64_t seed)
    : settings(chosen), domains(chosen, own_domain),
      known(chosen, this->domains, own_domain, seed),
      flows(chosen.maximum_flows)
{
}

bool tag_router::set_listings(
    time_point now,
    std::shared_ptr<route_listing const> new_routes,
    std::shared_ptr<upstream_listing const> new_upstreams)
{
    bool const are_routes_new =
        new_routes != nullptr && new_routes != this->routes;
    bool const are_upstreams_new =
        new_upstreams != nullptr && new_upstreams != this->listed;
    if (are_routes_new)
    {
        this->routes = std::move(new_routes);
        this->route_by_address.clear();
        for (published_route const& route : this->routes->routes)
            this->route_by_address[address_of(route)] = &route;
    }
    if (are_upstreams_new)
    {
        this->listed = std::move(new_upstreams);
        this->known.update(now, *this->listed);
    }
    return are_routes_new || are_upstreams_new;
}

void tag_router::route(
    time_point now, packet_arrived const& packet, effect_list& effects)
{
    bool const is_opening = packet.phase == packet_phase::opening ||
                            packet.phase == packet_phase::opening_with_data;
    if (is_opening)
        this->route_opening(now, packet, effects);
    else
        this->route_by_tag(now, packet, effects);
    this->check_silent(now, effects);
}

void tag_router::route_opening(
    time_point now, packet_arrived const& packet, effect_list& effects)
{
    tagged_flow* const flow = this->flows.find(packet.flow);
    bool const is_copy = flow != nullptr &&
                         now < flow->opened_at + copy_window &&
                         flow->state != tagged_flow_state::closing;
    if (is_copy)
        return this->route_copy(now, packet, *flow, effects);
    this->forget(packet.flow);
    this->place_opening(now, packet, upstream_tag(), effects);
}

void tag_router::route_copy(
    time_point now,
    packet_arrived const& packet,
    tagged_flow& flow,
    effect_list& effects)
{
    tagged_upstream* const upstream = this->known.find(flow.upstream);
    bool const has_data = packet.phase == packet_phase::opening_with_data;
    bool const may_stay = upstream != nullptr &&
                          !upstream->registered.is_draining &&
                          this->route_by_address.contains(packet.destination);
    // Data may have run where it was sent first, so it goes nowhere else.
    if (has_data && upstream != nullptr)
        return send(packet, *upstream, effects);
    // Counted from when this VM sent the opening, not from when the caller
    // did: a VM that was held up finds the opening and its copy together, and
    // would take every upstream for dead.
    bool const is_unanswered =
        flow.state == tagged_flow_state::opening &&
        now >= flow.opened_at + this->settings.answer_timeout;
    if (may_stay && !is_unanswered)
        return send(packet, *upstream, effects);
    if (upstream != nullptr && is_unanswered)
        this->note_unanswered(now, *upstream);
    upstream_tag const excluded = flow.upstream;
    this->forget(packet.flow);
    // It carries no data, and the caller answers the first upstream that
    // answers it; so asking a second one cannot run anything twice.
    this->place_opening(now, packet, excluded, effects);
}

void tag_router::place_opening(
    time_point now,
    packet_arrived const& packet,
    upstream_tag excluded,
    effect_list& effects)
{
    auto const route = this->route_by_address.find(packet.destination);
    if (route == this->route_by_address.end())
    {
        effects.emplace_back(
            drop_packet{packet.token, drop_reason::unknown_destination});
        return;
    }
    if (packet.phase == packet_phase::opening_with_data &&
        !route->second->is_idempotent)
    {
        // Its copy may reach another VM, and be run by a second upstream.
        // Callers repeat it without the data (RFC 7413 section 4.1.3).
        effects.emplace_back(
            drop_packet{packet.token, drop_reason::refused_silently});
        return;
    }
    tagged_upstream const* const chosen =
        this->choose(now, packet.destination, packet.flow, excluded);
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
        packet.flow, {.caller = packet.source,
                      .destination = packet.destination,
                      .upstream = chosen->tag,
                      .state = tagged_flow_state::opening,
                      .opened_at = now,
                      .expires_at = now + opening_lifetime,
                      .also_asked = excluded,
                      .progress = {},
                      .seen_at = now});
    this->await_answer(now, packet);
    send(packet, *chosen, effects);
}

tagged_upstream* tag_router::choose(
    time_point now,
    endpoint const& destination,
    flow_id flow,
    upstream_tag excluded)
{
    auto const found = this->route_by_address.find(destination);
    if (found == this->route_by_address.end())
        return nullptr;
    std::string_view const pool = this->pool_of(*found->second, flow);
    tagged_upstream* const chosen = this->known.choose(now, pool, excluded);
    if (chosen != nullptr)
        return chosen;
    return this->known.choose(now, pool, upstream_tag());
}

void tag_router::await_answer(time_point now, packet_arrived const& packet)
{
    // Data may have run where it was sent, so only a bare opening is repeated.
    if (packet.phase != packet_phase::opening || packet.opening_bytes.empty())
        return;
    this->unconfirmed.add(
        {.flow = packet.flow,
         .destination = packet.destination,
         .bytes = {packet.opening_bytes.begin(), packet.opening_bytes.end()},
         .retries = 0,
         .due_at = now + this->settings.retry_after});
}

void tag_router::advance(time_point now, effect_list& effects)
{
    while (auto due = this->unconfirmed.take_due(now))
        this->retry(now, std::move(*due), effects);
    this->domains.advance(now);
    this->report_verdicts(effects);
    this->check_silent(now, effects);
}

void tag_router::check_silent(time_point now, effect_list& effects)
{
    for (upstream_tag const tag : this->suspects)
    {
        tagged_upstream* const suspect = this->known.find(tag);
        bool const is_suspect = suspect != nullptr &&
                                (suspect->silent_since ||
                                 this->domains.is_unreachable(suspect->domain));
        bool const is_due =
            is_suspect && !suspect->is_being_checked &&
            now >= suspect->next_check_at &&
            now >= suspect->answered_at + this->settings.check_after;
        if (!is_due)
            continue;
        suspect->is_being_checked = true;
        suspect->next_check_at = now + this->settings.check_period;
        registered_upstream const& at = suspect->registered;
        effects.emplace_back(check_upstream{tag, at.address, at.port});
    }
    this->suspects.clear();
}

void tag_router::receive(
    time_point now, upstream_checked const& result, effect_list& effects)
{
    tagged_upstream* const upstream = this->known.find(result.upstream);
    if (upstream == nullptr)
        return;
    upstream->is_being_checked = false;
    // Where nobody listens, the machine itself resets flows: it needs no help.
    // One that answered a caller while the check ran is there after all.
    bool const is_suspect = upstream->silent_since ||
                            this->domains.is_unreachable(upstream->domain);
    bool const is_unreachable =
        result.outcome == connection_outcome::unanswered && is_suspect &&
        now >= upstream->answered_at + this->settings.check_after;
    if (result.outcome == connection_outcome::refused)
        this->known.note_unanswered(now, *upstream);
    if (upstream->is_unreachable == is_unreachable)
        return;
    upstream->is_unreachable = is_unreachable;
    auto const kind = is_unreachable ? report_kind::upstream_unreachable
                                     : report_kind::upstream_reachable;
    effects.emplace_back(
        report{kind, format_ipv4(upstream->registered.address), {}});
    if (is_unreachable)
        this->end_flows_of(*upstream, effects);
}

void tag_router::end_flows_of(tagged_upstream& upstream, effect_list& effects)
{
    // A caller that sends its next request on such a flow waits until its own
    // time is over, and may not repeat what must not run twice. One whose idle
    // flow ends opens another.
    this->flows.remove_open(
        upstream.tag,
        [&effects](tagged_flow const& flow)
        {
            if (!flow.progress)
                return;
            effects.emplace_back(reset_known_flow{
                flow.caller, flow.destination, flow.progress->acknowledged});
        });
    upstream.flows = 0;
}

void tag_router::retry(
    time_point now, pending_opening opening, effect_list& effects)
{
    tagged_flow* const flow = this->flows.find(opening.flow);
    bool const is_waiting = flow != nullptr &&
                            flow->state == tagged_flow_state::opening &&
                            opening.retries < this->settings.maximum_retries;
    if (!is_waiting)
        return;
    // The caller repeats its opening only after a fifth of a second, by which
    // time most requests of interest to people are late already.
    upstream_tag const silent = flow->upstream;
    if (tagged_upstream* const asked = this->known.find(silent))
        this->note_unanswered(now, *asked);
    tagged_upstream const* const chosen =
        this->choose(now, opening.destination, opening.flow, silent);
    if (chosen == nullptr)
        return;
    endpoint const caller = flow->caller;
    this->forget(opening.flow);
    this->remember(
        opening.flow, {.caller = caller,
                       .destination = opening.destination,
                       .upstream = chosen->tag,
                       .state = tagged_flow_state::opening,
                       .opened_at = now,
                       .expires_at = now + opening_lifetime,
                       .also_asked = silent,
                       .progress = {},
                       .seen_at = now});
    registered_upstream const& at = chosen->registered;
    effects.emplace_back(repeat_opening{
        opening.bytes, {at.address, at.port, at.instance}, chosen->tag});
    ++opening.retries;
    opening.due_at = now + this->settings.retry_after;
    this->unconfirmed.add(std::move(opening));
}

void tag_router::report_verdicts(effect_list& effects)
{
    for (domain_watch::verdict const& changed : this->domains.take_verdicts())
    {
        auto const kind = changed.is_unreachable
                              ? report_kind::domain_unreachable
                              : report_kind::domain_reachable;
        effects.emplace_back(
            report{kind, this->known.name_of(changed.domain), {}});
        if (changed.is_unreachable)
            this->suspect_all(changed.domain);
    }
}

void tag_router::suspect_all(failure_domain_id domain)
{
    for (tagged_upstream const& one : this->known.all())
    {
        if (one.domain == domain && !one.missing_since)
            this->suspects.push_back(one.tag);
    }
}

std::optional<time_point> tag_router::next_due() const
{
    auto const retry_at = this->unconfirmed.next_due();
    auto const verdict_at = this->domains.next_due();
    if (!retry_at || !verdict_at)
        return retry_at ? retry_at : verdict_at;
    return std::min(*retry_at, *verdict_at);
}

void tag_router::note_heard(time_point now, failure_domain_id domain)
{
    this->domains.note_heard(now, domain);
}

std::vector<failure_domain_id> tag_router::take_questions()
{
    return this->domains.take_questions();
}

void tag_router::route_by_tag(
    time_point now, packet_arrived const& packet, effect_list& effects)
{
    tagged_upstream* const upstream =
        this->known.find(this->tag_in_force(packet));
    if (upstream == nullptr)
    {
        // A reset could end a flow that another VM knows; the caller repeats
        // its packet, and by then this VM may have learned the upstream.
        effects.emplace_back(
            drop_packet{packet.token, drop_reason::unknown_flow});
        return;
    }
    this->follow(now, packet, *upstream);
    if (!this->must_reset(packet, *upstream))
        return send(packet, *upstream, effects);
    this->forget(packet.flow);
    effects.emplace_back(reset_flow{packet.token});
}

upstream_tag tag_router::tag_in_force(packet_arrived const& packet) const
{
    tagged_flow const* const flow = this->flows.find(packet.flow);
    // Two upstreams got this flow's opening. The caller answered the first
    // that answered; the second one's answer may have changed the tag since,
    // and that upstream would reset a flow which it does not hold.
    bool const is_settled =
        flow != nullptr && flow->state != tagged_flow_state::opening;
    if (is_settled && *packet.tag == flow->also_asked)
        return flow->upstream;
    return *packet.tag;
}

bool tag_router::must_reset(
    packet_arrived const& packet, tagged_upstream const& upstream) const
{
    bool const is_out_of_reach = upstream.is_unreachable ||
                                 this->domains.is_unreachable(upstream.domain);
    return packet.progress.has_data && upstream.silent_since && is_out_of_reach;
}

void tag_router::follow(
    time_point now, packet_arrived const& packet, tagged_upstream& upstream)
{
    if (packet.phase == packet_phase::reset)
        return this->forget(packet.flow);
    tagged_flow* const flow = this->enter(now, packet, upstream.tag);
    if (flow == nullptr)
        return;
    if (flow->state == tagged_flow_state::opening)
    {
        flow->state = tagged_flow_state::established;
        this->note_answered(now, upstream);
    }
    this->note_progress(now, packet, *flow, upstream);
    flow->seen_at = now;
    if (packet.phase == packet_phase::closing)
        flow->state = tagged_flow_state::closing;
    flow->expires_at = flow->state == tagged_flow_state::closing
                           ? now + closing_lifetime
                           : now + this->idle_timeout();
}

tagged_flow* tag_router::enter(
    time_point now, packet_arrived const& packet, upstream_tag tag)
{
    tagged_flow* const flow = this->flows.find(packet.flow);
    if (flow != nullptr && flow->upstream == tag)
        return flow;
    // Opened through another VM, or the caller answered the other of two
    // upstreams that were asked.
    upstream_tag const also_asked =
        flow == nullptr ? upstream_tag() : flow->upstream;
    bool const was_opening =
        flow != nullptr && flow->state == tagged_flow_state::opening;
    this->forget(packet.flow);
    this->remember(
        packet.flow, {.caller = packet.source,
                      .destination = packet.destination,
                      .upstream = tag,
                      .state = was_opening ? tagged_flow_state::opening
                                           : tagged_flow_state::established,
                      .opened_at = now - copy_window,
                      .expires_at = now + this->idle_timeout(),
                      .also_asked = also_asked,
                      .progress = {},
                      .seen_at = now});
    return this->flows.find(packet.flow);
}

void tag_router::note_progress(
    time_point now,
    packet_arrived const& packet,
    tagged_flow& flow,
    tagged_upstream& upstream)
{
    flow_progress const& told = packet.progress;
    if (!flow.progress)
    {
        flow.progress = told;
        return;
    }
    flow_progress& known_progress = *flow.progress;
    // Only an answer to what passed this VM shows that the upstream can be
    // reached from here. An upstream behind a cut still reaches callers, and
    // ends idle flows unasked. And a caller acknowledges a short answer only
    // with its next request or its end, which may come seconds later. Taken
    // for news, either would hide that a failure domain is cut off.
    bool const is_late = told.has_data || packet.phase == packet_phase::closing;
    time_point const answered_at = is_late ? flow.seen_at : now;
    bool const is_answered = told.acknowledged != known_progress.acknowledged &&
                             flow.state != tagged_flow_state::closing;
    if (is_answered)
        this->note_answered(answered_at, upstream);
    // Numbers wrap around, so their difference tells which comes first.
    auto const ahead =
        static_cast<std::int32_t>(told.sequence - known_progress.sequence);
    bool const is_repeated =
        told.has_data && known_progress.has_data && ahead <= 0;
    if (is_repeated)
        this->note_silent(now, upstream);
    known_progress.acknowledged = told.acknowledged;
    if (!told.has_data)
        return;
    known_progress.sequence = told.sequence;
    known_progress.has_data = true;
}

void tag_router::note_answered(time_point at, tagged_upstream& upstream)
{
    tagged_upstreams::note_answered(at, upstream);
    this->domains.note_answered(at, upstream.domain);
}

void tag_router::note_unanswered(time_point now, tagged_upstream& upstream)
{
    this->known.note_unanswered(now, upstream);
    this->note_silent(now, upstream);
}

void tag_router::note_silent(time_point now, tagged_upstream& upstream)
{
    tagged_upstreams::note_silent(now, upstream);
    this->suspects.push_back(upstream.tag);
    this->domains.note_silent(
        now, upstream.domain, this->known.count_silent(upstream.domain));
}

duration tag_router::idle_timeout() const
{
    return this->routes == nullptr ? this->settings.idle_timeout
                                   : this->routes->idle_timeout;
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

tagged_upstream const* tag_router::upstream_of(flow_id flow) const
{
    tagged_flow const* const held = this->flows.find(flow);
    return held == nullptr ? nullptr : this->known.find(held->upstream);
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
