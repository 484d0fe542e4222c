#include <tagging/tag_router.hpp>

#include <base/hash.hpp>

#include <algorithm>
#include <utility>

namespace cairnhead
{

namespace
{

using std::chrono_literals::operator""s;

/// Interval of the removal of expired flows and upstreams.
constexpr duration cleaning_period = 1s;

/// After its FIN a caller still sends acknowledgements for a while.
constexpr duration closing_lifetime = 2s;

/// All routes of a registry are attributed to one organisation.
organisation_id const registry_organisation =
    make_organisation_id(registry_organisation_name);

endpoint address_of(published_route const& route)
{
    return {route.address, route.port, transport_protocol::tcp};
}

} // namespace

tag_router::tag_router(
    tagging_settings const& chosen, failure_domain_id own, std::uint64_t seed)
    : settings(chosen), own_domain(own), domains(chosen, own),
      upstream_table(chosen, this->domains, own, seed),
      flows(chosen.maximum_flows)
{
    if (chosen.placement == placement_rule::answer_times)
        this->upstream_table.use_ratings(this->ratings);
}

void tag_router::set_listings(
    time_point now, registry_contents contents, registry_versions versions)
{
    bool const was_informed = this->is_informed();
    // Routes come first, as they hold the lengths of slow starts; evacuations
    // come last, as they refer to upstreams.
    if (contents.routes != nullptr && contents.routes != this->routes)
    {
        this->in_force.routes = versions.routes;
        this->apply_listing(now, std::move(contents.routes));
    }
    if (contents.upstreams != nullptr &&
        contents.upstreams != this->listed_upstreams)
    {
        this->in_force.upstreams = versions.upstreams;
        this->apply_listing(now, std::move(contents.upstreams));
    }
    if (contents.evacuations != nullptr &&
        contents.evacuations != this->evacuations)
    {
        this->in_force.evacuations = versions.evacuations;
        this->apply_listing(now, std::move(contents.evacuations));
    }
    // Openings are queued until the registry is complete. Another VM may have
    // placed the retransmissions of openings that were queued for long.
    if (this->is_informed() && !was_informed)
        this->pauses.record_pause_end(now);
}

void tag_router::apply_listing(
    time_point now, std::shared_ptr<route_listing const> listing)
{
    this->routes = std::move(listing);
    this->in_force.routes_since = now;
    this->route_by_address.clear();
    for (published_route const& route : this->routes->routes)
        this->route_by_address[address_of(route)] = &route;
    std::erase_if(
        this->baselines,
        [this](auto const& entry)
        {
            return !this->route_by_address.contains(entry.first);
        });
    this->upstream_table.set_warmups(this->routes->warmups);
}

void tag_router::apply_listing(
    time_point now, std::shared_ptr<upstream_listing const> listing)
{
    this->in_force.upstreams_since = now;
    bool const was_early = this->early_upstreams != nullptr;
    if (was_early)
        this->forget_early_upstreams();
    auto const previous =
        std::exchange(this->listed_upstreams, std::move(listing));
    auto const outcome = this->upstream_table.update(
        now, previous == nullptr ? upstream_listing() : *previous,
        *this->listed_upstreams);
    if (was_early)
        this->count_flows_again();
    for (upstream_tag const tag : outcome.restarted)
    {
        this->remove_flows_of(tag);
        this->forget_performance(tag);
    }
    this->replaced_upstreams.insert(
        this->replaced_upstreams.end(), outcome.taken_over.begin(),
        outcome.taken_over.end());
}

void tag_router::set_early_upstreams(
    time_point now, std::shared_ptr<upstream_listing const> listing)
{
    if (this->knows_upstreams() || listing == nullptr)
        return;
    this->early_upstreams = std::move(listing);
    (void)this->upstream_table.update(now, {}, *this->early_upstreams);
}

void tag_router::forget_early_upstreams()
{
    // Neither of the two listings is known to be the later one. If the document
    // counted as a change of the early listing, an upstream that is new in
    // either could be taken for the successor of another at its address, and
    // live flows would be reset.
    this->early_upstreams.reset();
    this->upstream_table.clear();
}

void tag_router::count_flows_again()
{
    this->flows.visit(
        [this](tagged_flow const& flow)
        {
            if (auto* const upstream = this->upstream_table.find(flow.upstream))
                ++upstream->flows;
        });
}

void tag_router::apply_listing(
    time_point now, std::shared_ptr<evacuation_listing const> listing)
{
    this->in_force.evacuations_since = now;
    this->evacuations = std::move(listing);
    this->upstream_table.set_evacuated(now, this->evacuations->domains);
}

void tag_router::set_domain_vms(vm_id self, std::span<vm_id const> vms)
{
    this->upstream_table.set_domain_vms(self, vms);
}

void tag_router::route(
    time_point now, packet_arrived const& packet, effect_list& effects)
{
    this->pauses.record_event(now);
    // A VM that has only the routes would refuse every opening for lack of
    // upstreams, though other VMs could place it: when VMs started after all
    // had been down, callers saw this as resets. The caller's retransmission
    // reaches a VM that has the whole registry.
    bool const is_opening = is_opening_phase(packet.phase);
    bool const can_decide =
        is_opening ? this->is_informed() : this->knows_upstreams();
    if (!can_decide)
        return this->drop(
            packet, drop_reason::not_ready, flow_rule::registry_incomplete,
            effects);
    if (is_opening)
        this->route_opening(now, packet, effects);
    else
        this->route_by_tag(now, packet, effects);
    this->start_due_checks(now, effects);
}

void tag_router::advance(time_point now, effect_list& effects)
{
    this->pauses.record_event(now);
    this->release_due(now, effects);
    this->reset_flows_of_replaced(now, effects);
    while (auto due = this->unconfirmed.take_due(now))
        this->retry_opening(now, std::move(*due), effects);
    this->observe_overdue_requests(now);
    this->domains.advance(now);
    this->report_reachability_changes(effects);
    this->start_due_checks(now, effects);
}

std::optional<time_point> tag_router::next_due() const
{
    if (!this->replaced_upstreams.empty())
        return this->in_force.upstreams_since;
    std::optional<time_point> earliest;
    for (auto const& due :
         {this->unconfirmed.next_due(), this->domains.next_due(),
          this->held.next_due()})
    {
        if (due && (!earliest || *due < *earliest))
            earliest = due;
    }
    return earliest;
}

void tag_router::route_by_tag(
    time_point now, packet_arrived const& packet, effect_list& effects)
{
    named_upstream const named = this->upstream_of(packet);
    bool const is_held = named.certainty != tag_certainty::certain &&
                         this->hold(now, packet, named, effects);
    if (is_held)
        return;
    if (named.certainty == tag_certainty::ambiguous)
    {
        // A reset could end a live flow whose upstream only other VMs know, and
        // an upstream that does not hold the flow would reset it. The caller
        // retransmits its packet, and by then this VM may know the upstream.
        return this->drop(
            packet, drop_reason::unknown_flow, named.rule, effects);
    }
    tagged_upstream& upstream = *named.upstream;
    if (this->upstream_table.is_address_taken_over(upstream))
    {
        effects.emplace_back(
            drop_packet{packet.token, drop_reason::upstream_unreachable});
        return this->reset_flow_of_packet(packet, upstream, effects);
    }
    this->update_flow(now, packet, upstream, named.rule, effects);
    this->check_now(now, packet, upstream);
    send(packet, upstream, upstream.tag, effects);
    this->correct_tag_of(now, packet, upstream, effects);
}

void tag_router::update_flow(
    time_point now,
    packet_arrived const& packet,
    tagged_upstream& upstream,
    flow_rule rule,
    effect_list& effects)
{
    if (packet.phase == packet_phase::reset)
    {
        this->contested.remove(packet.flow);
        return this->remove_flow(packet.flow);
    }
    tagged_flow* const flow =
        this->find_or_add_flow(now, packet, upstream.tag, rule, effects);
    if (flow == nullptr)
        return;
    if (flow->state == tagged_flow_state::opening)
    {
        this->confirm_opening(now, packet.flow, *flow, upstream, effects);
        if (flow->is_contested)
            this->tell_binding(now, packet, effects);
    }
    this->record_progress(now, packet, *flow, upstream, effects);
    this->time_request(now, packet, *flow, upstream);
    flow->last_packet_at = now;
    if (packet.phase == packet_phase::closing)
        flow->state = tagged_flow_state::closing;
    flow->expires_at = flow->state == tagged_flow_state::closing
                           ? now + closing_lifetime
                           : now + this->idle_timeout();
}

void tag_router::confirm_opening(
    time_point now,
    flow_id id,
    tagged_flow& flow,
    tagged_upstream& upstream,
    effect_list& effects)
{
    flow.state = tagged_flow_state::established;
    this->record_answer(now, upstream);
    auto const route = this->route_by_address.find(flow.destination);
    bool const was_opened_here = flow.opened_at != time_point::min();
    flow_decision confirmed = this->make_decision(
        flow_step::confirmed, flow_rule::named_by_tag, id,
        {flow.caller, flow.destination}, &upstream);
    if (was_opened_here)
    {
        confirmed.waited = now - flow.opened_at;
        this->confirmations.record_confirmation();
    }
    effects.emplace_back(confirmed);
    if (route == this->route_by_address.end() || !was_opened_here)
        return;
    effects.emplace_back(observe_handshake{
        registry_organisation, route->second->traffic, now - flow.opened_at});
}

tagged_flow* tag_router::find_or_add_flow(
    time_point now,
    packet_arrived const& packet,
    upstream_tag tag,
    flow_rule rule,
    effect_list& effects)
{
    tagged_flow* const flow = this->flows.find(packet.flow);
    if (flow != nullptr && flow->upstream == tag)
        return flow;
    // Another VM placed the flow's opening, or the caller confirmed another of
    // the upstreams that got it.
    bool const was_opening =
        flow != nullptr && flow->state == tagged_flow_state::opening;
    if (flow == nullptr)
        this->confirmations.record_unknown_flow();
    if (!was_opening)
        effects.emplace_back(this->make_decision(
            flow_step::taken_over, rule, packet.flow,
            {packet.source, packet.destination},
            this->upstream_table.find(tag)));
    this->remove_flow(packet.flow);
    this->add_flow(
        packet.flow, {.caller = packet.source,
                      .destination = packet.destination,
                      .upstream = tag,
                      .state = was_opening ? tagged_flow_state::opening
                                           : tagged_flow_state::established,
                      .opened_at = time_point::min(),
                      .expires_at = now + this->idle_timeout(),
                      .progress = {},
                      .last_packet_at = now,
                      .is_contested = was_opening,
                      .requests = request_timer(
                          was_opening ? flow_origin::opened_here
                                      : flow_origin::opened_elsewhere)});
    return this->flows.find(packet.flow);
}

void tag_router::remove_flows_of(upstream_tag restarted)
{
    // These flows are not reset here: some may have been opened at the
    // restarted upstream before this VM learned of its restart, and those are
    // alive. At the caller's next packet the upstream itself resets a flow
    // that it does not hold; a live flow gets a new entry with that packet.
    for (tagged_flow const& flow : this->flows.take_established(restarted))
        this->decrement_flow_count(flow);
}

duration tag_router::idle_timeout() const
{
    return this->routes == nullptr ? this->settings.idle_timeout
                                   : this->routes->idle_timeout;
}

void tag_router::add_flow(flow_id flow, tagged_flow const& added)
{
    if (this->flows.insert(flow, added) == nullptr)
        return;
    tagged_upstream* const upstream = this->upstream_table.find(added.upstream);
    if (upstream != nullptr)
        ++upstream->flows;
}

void tag_router::remove_flow(flow_id flow)
{
    tagged_flow const* const entry = this->flows.find(flow);
    if (entry == nullptr)
        return;
    this->decrement_flow_count(*entry);
    this->flows.remove(flow);
}

void tag_router::decrement_flow_count(tagged_flow const& flow)
{
    tagged_upstream* const upstream = this->upstream_table.find(flow.upstream);
    if (upstream != nullptr && upstream->flows > 0)
        --upstream->flows;
}

void tag_router::tick(time_point now, effect_list& effects)
{
    this->pauses.record_event(now);
    this->observe_overdue_requests(now);
    if (now < this->next_cleaning_at)
        return;
    this->next_cleaning_at = now + cleaning_period;
    this->flows.expire(
        now,
        [this](tagged_flow const& expired)
        {
            this->decrement_flow_count(expired);
        });
    this->upstream_table.forget_old(now);
    this->ratings.expire(now);
    this->answer_times.expire(now);
    this->bindings.expire(now);
    this->contested.expire(now);
    std::erase_if(
        this->delay_controls,
        [now](auto const& entry)
        {
            return entry.second.is_idle(now);
        });
    this->forget_idle_loads(now, effects);
    this->recheck_unreachable(now);
    this->start_due_checks(now, effects);
    this->domains.probe_again(now);
}

bool tag_router::is_informed() const
{
    return this->routes != nullptr && this->listed_upstreams != nullptr &&
           this->evacuations != nullptr;
}

bool tag_router::knows_upstreams() const
{
    return this->listed_upstreams != nullptr ||
           this->early_upstreams != nullptr;
}

registry_knowledge const& tag_router::registry() const
{
    return this->in_force;
}

std::span<std::string const> tag_router::evacuated_domains() const
{
    if (this->evacuations == nullptr)
        return {};
    return this->evacuations->domains;
}

std::string tag_router::name_of(failure_domain_id domain) const
{
    return this->upstream_table.name_of(domain);
}

std::span<tagged_upstream const> tag_router::upstreams() const
{
    return this->upstream_table.all();
}

std::vector<upstream_candidate>
tag_router::registered_upstreams(time_point now) const
{
    auto registered = this->upstream_table.registered_candidates(now);
    this->add_ratings(now, registered);
    return registered;
}

tagged_explanation tag_router::explain(
    time_point now, flow_id flow, endpoint const& destination) const
{
    tagged_explanation explanation;
    auto const route = this->route_by_address.find(destination);
    if (route == this->route_by_address.end())
        return explanation;
    explanation.route = route->second;
    explanation.pool = this->pool_of(*explanation.route, flow);
    explanation.candidates =
        this->upstream_table.candidates(now, explanation.pool);
    this->add_ratings(now, explanation.candidates);
    tagged_flow const* const entry = this->flows.find(flow);
    if (entry != nullptr)
        explanation.current = this->upstream_table.find(entry->upstream);
    return explanation;
}

std::size_t tag_router::flow_count() const
{
    return this->flows.size();
}

flow_decision tag_router::make_decision(
    flow_step step,
    flow_rule rule,
    flow_id flow,
    flow_ends const& ends,
    tagged_upstream const* upstream) const
{
    flow_decision decision;
    decision.step = step;
    decision.rule = rule;
    decision.flow = flow;
    decision.caller = ends.caller;
    decision.route = ends.destination;
    decision.known = this->in_force;
    if (upstream == nullptr)
        return decision;
    decision.service = upstream->registered.pool;
    decision.upstream = upstream->registered.instance;
    decision.address = upstream->registered.address;
    decision.flows = upstream->flows;
    decision.slots = upstream->registered.slots;
    return decision;
}

flow_decision tag_router::make_decision(
    flow_step step,
    flow_id flow,
    flow_ends const& ends,
    upstream_choice const& choice) const
{
    flow_decision decision =
        this->make_decision(step, choice.rule, flow, ends, choice.chosen);
    decision.service = choice.pool;
    decision.pool_size = choice.pool_size;
    decision.ready = choice.ready;
    decision.priority = choice.priority;
    return decision;
}

void tag_router::drop(
    packet_arrived const& packet,
    drop_reason reason,
    flow_rule rule,
    effect_list& effects) const
{
    effects.emplace_back(drop_packet{packet.token, reason});
    effects.emplace_back(this->make_decision(
        flow_step::dropped, rule, packet.flow,
        {packet.source, packet.destination}, nullptr));
}

void tag_router::send(
    packet_arrived const& packet,
    tagged_upstream const& upstream,
    upstream_tag tag,
    effect_list& effects)
{
    registered_upstream const& at = upstream.registered;
    effects.emplace_back(
        send_tagged{packet.token, {at.address, at.port, at.instance}, tag});
}

} // namespace cairnhead
