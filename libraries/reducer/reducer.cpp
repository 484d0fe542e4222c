#include <reducer/reducer.hpp>

#include <reducer/tagged_view.hpp>

#include <base/hash.hpp>

#include <algorithm>

namespace cairnhead
{

namespace
{

/// Each part gets random numbers of its own, so that a change in one part
/// does not change the choices of another.
std::uint64_t seed_for(reducer_settings const& settings, std::string_view part)
{
    std::uint64_t const own =
        hash_pair(settings.random_seed, settings.self.id.value());
    return hash_pair(own, hash_text(part));
}

/// Nobody owns a flow whose packets carry tags: the usual slots would be filled
/// at the start and never be read.
std::size_t count_slots(reducer_settings const& settings)
{
    return settings.memory == flow_memory::tags
               ? 1
               : ownership_table::usual_slot_count;
}

} // namespace

reducer::reducer(reducer_settings const& initial_settings)
    : settings(initial_settings), members(
                                      this->settings.membership,
                                      this->settings.self,
                                      this->settings.seeds,
                                      seed_for(this->settings, "membership")),
      ownership(this->settings.ownership, count_slots(this->settings)),
      pin_store(this->settings.pins), versions(
                                          this->settings.versions,
                                          this->settings.self,
                                          seed_for(this->settings, "versions")),
      placer(
          this->settings.placement,
          this->settings.self,
          seed_for(this->settings, "placement")),
      admitter(this->settings.admission, this->settings.pins.maximum_pins),
      handing_over(this->settings.handover, this->settings.pins),
      tagged(
          this->settings.tagging,
          this->settings.self.domain,
          seed_for(this->settings, "tagging")),
      ratings(
          this->settings.self,
          this->settings.versions.relay_fanout,
          seed_for(this->settings, "rating")),
      declarations(this->versions.current())
{
}

void reducer::apply(event const& event, effect_list& effects)
{
    this->notice_pause(event.now, effects);
    this->ratings.record_event(event.now);
    std::visit(
        [&](auto const& body)
        {
            this->handle(event.now, body, effects);
        },
        event.body);
    if (std::holds_alternative<packet_arrived>(event.body))
        return;
    this->refresh(event.now, effects);
}

void reducer::apply(
    time_point now, packet_arrived const& packet, effect_list& effects)
{
    this->notice_pause(now, effects);
    this->ratings.record_event(now);
    this->handle(now, packet, effects);
}

serving_state reducer::state() const
{
    if (this->handing_over.is_leaving())
        return serving_state::leaving;
    switch (this->current_permission)
    {
    case placing_permission::allowed:
        return serving_state::serving;
    case placing_permission::joining:
        return serving_state::joining;
    case placing_permission::view_expired:
        return serving_state::view_expired;
    }
    return serving_state::joining;
}

reducer_view reducer::view(time_point now) const
{
    reducer_view seen;
    seen.self = this->settings.self;
    seen.state = this->state();
    seen.pins = this->pin_store.size();
    seen.pin_bytes = this->pin_store.memory_bytes();
    seen.is_reader = this->versions.is_reader();
    seen.documents_generation = this->versions.generation();
    seen.documents = this->versions.stamps();
    auto const known = this->members.members();
    seen.members.assign(known.begin(), known.end());
    seen.declarations = this->declarations;
    seen.taken_at = now;
    for (placement::upstream_view const& each : this->placer.views(now))
        seen.upstreams.push_back({each, 0, std::nullopt});
    auto const routes = this->versions.registered().routes;
    if (!this->is_tagged() || routes == nullptr)
        return seen;
    seen.pins = this->tagged.flow_count();
    seen.declarations = make_shown_directory(*routes, this->tagged.upstreams());
    seen.upstreams =
        make_shown_upstreams(this->tagged.registered_upstreams(now));
    seen.registry = this->tagged.registry();
    auto const evacuated = this->tagged.evacuated_domains();
    seen.evacuated_domains.assign(evacuated.begin(), evacuated.end());
    return seen;
}

reducer_gauges reducer::gauges(time_point now) const
{
    reducer_gauges counted;
    counted.state = this->state();
    counted.flows =
        this->is_tagged() ? this->tagged.flow_count() : this->pin_store.size();
    counted.documents_generation = this->versions.generation();
    counted.members = this->members.members();
    if (!this->is_tagged())
    {
        counted.declarations = this->declarations.get();
        return counted;
    }
    counted.upstreams = this->tagged.upstreams();
    counted.registry = this->tagged.registry();
    counted.evacuated_domains = this->tagged.evacuated_domains();
    counted.ratings_in_force = this->tagged.count_ratings(now);
    counted.ratings = this->ratings.counts();
    return counted;
}

bool reducer::is_tagged() const
{
    return this->settings.memory == flow_memory::tags;
}

flow_explanation reducer::explain(
    time_point now, flow_id flow, endpoint const& destination) const
{
    flow_explanation found;
    found.documents_generation = this->versions.generation();
    if (this->is_tagged())
        return this->explain_tagged(now, flow, destination);
    service const* const target = this->declarations->find_service(destination);
    if (target != nullptr)
    {
        found.service = target->name;
        found.predicted = this->placer.predict(*target, flow);
    }
    if (this->ownership.is_empty())
        return found;
    found.holders = this->ownership.holders_of(flow);
    pin const* const held = this->pin_store.find(flow);
    if (held != nullptr)
    {
        found.pinned = held->upstream;
        found.rule = routing_rule::own_pin;
        return found;
    }
    if (target == nullptr)
        return found;
    if (found.holders.owner != this->settings.self.id)
        found.rule = routing_rule::ask_owner;
    else if (!this->ownership.earlier_holders_of(now, flow).empty())
        found.rule = routing_rule::ask_earlier_holders;
    else
        found.rule = routing_rule::place_opening;
    return found;
}

std::optional<time_point> reducer::next_due() const
{
    std::optional<time_point> first;
    for (auto const& due :
         {this->tagged.next_due(), this->versions.next_due(),
          this->ratings.next_due()})
    {
        if (due && (!first || *due < *first))
            first = due;
    }
    return first;
}

bool reducer::can_forward_flows() const
{
    return !this->is_tagged() || this->tagged.knows_upstreams();
}

bool reducer::can_place_openings() const
{
    return !this->is_tagged() || this->tagged.is_informed();
}

bool reducer::is_ready() const
{
    if (this->handing_over.is_leaving())
        return false;
    // With tags, a VM may have joined and know neither route nor upstream: a
    // peer answered, but its documents could not be had. Callers sent there
    // would wait in vain.
    if (this->is_tagged())
        return this->tagged.is_informed();
    return this->state() == serving_state::serving;
}

flow_explanation reducer::explain_tagged(
    time_point now, flow_id flow, endpoint const& destination) const
{
    flow_explanation found;
    found.documents_generation = this->versions.generation();
    found.asked_at = now;
    found.registry = this->tagged.registry();
    tagged_explanation told = this->tagged.explain(now, flow, destination);
    if (told.route == nullptr)
        return found;
    found.service = name_service(*told.route);
    found.pool = std::move(told.pool);
    found.candidates = std::move(told.candidates);
    found.rule = routing_rule::place_opening;
    if (told.current == nullptr)
        return found;
    found.pinned = upstream_id(told.current->registered.address.value());
    found.rule = routing_rule::own_pin;
    return found;
}

version_store const& reducer::documents() const
{
    return this->versions;
}

pin_table const& reducer::pins() const
{
    return this->pin_store;
}

void reducer::handle(
    time_point now, packet_arrived const& body, effect_list& out)
{
    if (body.tag.has_value())
    {
        this->tagged.route(now, body, out);
        this->ask_domains(out);
        return;
    }
    routing_context const parts = this->context();
    flow_router(now, this->settings.pins, parts, body, out).route();
}

void reducer::handle(
    time_point now, control_arrived const& body, effect_list& out)
{
    vm_id const sender = body.message.sender;
    if (this->has_joined)
        this->members.heard_from(now, sender);
    else
        this->note_early_peer(sender);
    if (auto const domain = this->members.domain_of(sender))
        this->tagged.record_domain_message(now, *domain);
    std::visit(
        [&](auto const& message)
        {
            this->receive(now, sender, message, out);
        },
        body.message.body);
}

void reducer::handle(time_point now, tick const&, effect_list& out)
{
    this->versions.tick(now, out);
    this->tagged.tick(now, out);
    this->exchange_ratings(now, out);
    this->ask_domains(out);
    if (!this->has_joined)
    {
        if (this->handing_over.is_leaving())
            this->handing_over.tick(now, this->context(), out);
        return;
    }
    this->members.tick(now, this->versions.digest(), out);
    this->leave_in_turn(now, out);
    this->report_domains(now, out);
    this->placer.tick(now, this->domain_vms, this->peer_vms, out);
    this->predictions.forget_old(now);
    bool const is_limited = this->settings.handover.stop_grace != 0s;
    this->handing_over.note_use(is_limited && this->turn.is_needed(now));
    this->handing_over.tick(now, this->context(), out);
}

void reducer::report_domains(time_point now, effect_list& out)
{
    for (domain_hearing const& changed : this->members.take_domain_changes(now))
    {
        auto const silent =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                now - changed.heard_at);
        out.emplace_back(report{
            changed.is_silent ? report_kind::domain_silent
                              : report_kind::domain_heard,
            this->tagged.name_of(changed.domain),
            {},
            {{"heard_ms_ago", std::to_string(silent.count())}}});
    }
}

void reducer::handle(time_point now, deadline_reached const&, effect_list& out)
{
    this->versions.advance(now, out);
    this->tagged.advance(now, out);
    this->exchange_ratings(now, out);
    this->ask_domains(out);
}

void reducer::handle(
    time_point now, upstream_checked const& body, effect_list& out)
{
    this->tagged.receive(now, body, out);
}

void reducer::handle(
    time_point now, seeds_changed const& body, effect_list& out)
{
    if (this->has_joined)
        this->members.hint(now, body.seeds, out);
    else
        this->hints_before_join = body.seeds;
}

void reducer::ask_domains(effect_list& out)
{
    for (failure_domain_id const domain : this->tagged.take_domains_to_probe())
    {
        for (domain_contact const& known :
             this->members.contacts_abroad().of(domain))
            this->members.ask(known.id, out);
    }
}

void reducer::handle(time_point now, started const& body, effect_list& out)
{
    this->started_at = now;
    this->first_life = first_incarnation(body.wall_clock_milliseconds);
    std::vector<document_peer> seeds;
    for (vm_id const seed : this->settings.seeds)
    {
        if (seed == this->settings.self.id)
            continue;
        // Their failure domains are not known before they are members.
        seeds.push_back({seed, failure_domain_id()});
        this->note_early_peer(seed);
    }
    this->versions.set_peers(now, seeds);
    // Peers and the platform are asked as the process starts and not with the
    // first tick: after a loss of all VMs all callers wait for the answers.
    auto const& asked = this->settings.seeds;
    bool const is_seed =
        seeds.empty() ||
        std::ranges::find(asked, this->settings.self.id) != asked.end();
    this->versions.start(now, is_seed, out);
}

void reducer::handle(time_point now, leave_requested const&, effect_list& out)
{
    if (this->handing_over.is_leaving() || this->turn.is_waiting())
        return;
    this->stop = plan_stop(this->settings.handover, now);
    if (!this->has_joined)
        return this->leave_unjoined(now, out);
    this->turn.request(now, this->stop.ready_until);
    this->leave_in_turn(now, out);
    if (!this->turn.is_waiting())
        return;
    auto const others = this->turn.use(now);
    out.emplace_back(report{
        report_kind::leave_awaits_turn,
        {},
        {},
        {{"others_used", std::to_string(others.used)},
         {"others", std::to_string(others.all)}}});
}

void reducer::leave_unjoined(time_point now, effect_list& out)
{
    // No peer knows this VM, so there is nothing to hand over. The fabric may
    // use it all the same: what it knows then suffices for callers' packets,
    // which would be lost until the fabric has given it up.
    bool const may_be_used = this->is_ready();
    this->begin_leave(now, out);
    if (!may_be_used)
        out.emplace_back(leave_complete{});
}

void reducer::leave_in_turn(time_point now, effect_list& out)
{
    if (!this->turn.take(now))
        return;
    this->begin_leave(now, out);
    this->members.announce_leave(now, out);
}

void reducer::begin_leave(time_point now, effect_list& out)
{
    out.emplace_back(report{report_kind::leave_started, "", ""});
    this->handing_over.start_leaving(
        now + this->stop.notice, this->stop.ends_at);
}

void reducer::handle(
    time_point now, platform_listed const& body, effect_list& out)
{
    this->versions.receive(now, body, out);
    // A joiner whose seeds are all gone finds the others by this list alone,
    // and the next one may come half a minute later.
    if (!this->has_joined)
        this->hints_before_join = body.vms;
    else
        this->members.hint(now, body.vms, out);
}

void reducer::handle(
    time_point now, platform_failed const& body, effect_list& out)
{
    this->versions.receive(now, body, out);
}

void reducer::handle(
    time_point now, platform_answered const& body, effect_list& out)
{
    this->versions.receive(now, body, out);
}

void reducer::handle(time_point now, upstreams_read const& body, effect_list&)
{
    this->tagged.set_early_upstreams(now, body.listing);
}

void reducer::handle(
    time_point now, document_fetched const& body, effect_list& out)
{
    this->versions.receive(now, body, out);
}

void reducer::handle(
    time_point now, document_fetch_failed const& body, effect_list& out)
{
    this->versions.receive(now, body, out);
}

void reducer::handle(
    time_point now, upstream_probed const& body, effect_list& out)
{
    this->placer.receive(now, body, out);
}

void reducer::receive(
    time_point now, vm_id sender, ping const& message, effect_list& out)
{
    if (!this->has_joined)
        return;
    this->members.receive(now, sender, message, this->versions.digest(), out);
    this->versions.compare_digest(now, sender, message.documents_digest, out);
}

void reducer::receive(
    time_point now, vm_id sender, ping_answer const& message, effect_list& out)
{
    if (!this->has_joined)
        return;
    this->members.receive(now, sender, message, out);
    if (message.subject == sender)
        this->versions.compare_digest(
            now, sender, message.documents_digest, out);
}

void reducer::receive(
    time_point now, vm_id sender, ping_request const& message, effect_list& out)
{
    if (!this->has_joined)
        return;
    this->members.receive(now, sender, message, this->versions.digest(), out);
}

void reducer::receive(
    time_point now,
    vm_id sender,
    member_listing const& message,
    effect_list& out)
{
    if (!this->has_joined)
        return;
    this->members.receive(now, sender, message, out);
}

void reducer::receive(
    time_point now,
    vm_id sender,
    document_listing const& message,
    effect_list& out)
{
    this->versions.receive(now, sender, message, out);
}

void reducer::receive(
    time_point now,
    vm_id sender,
    registry_change const& message,
    effect_list& out)
{
    this->versions.receive(now, sender, message, out);
}

void reducer::receive(
    time_point now,
    vm_id sender,
    reading_heartbeat const& message,
    effect_list& out)
{
    this->versions.receive(now, sender, message, out);
}

void reducer::receive(
    time_point now,
    vm_id sender,
    reading_attempt const& message,
    effect_list& out)
{
    this->versions.receive(now, sender, message, out);
}

void reducer::receive(
    time_point now, vm_id sender, join_request const& message, effect_list& out)
{
    this->versions.receive(now, sender, message, out);
}

void reducer::receive(
    time_point now,
    vm_id sender,
    join_referral const& message,
    effect_list& out)
{
    this->versions.receive(now, sender, message, out);
}

void reducer::receive(
    time_point now, vm_id, pin_batch const& message, effect_list&)
{
    if (!this->has_joined)
        return;
    store_copied_pins(now, this->context(), message);
}

void reducer::receive(
    time_point now,
    vm_id sender,
    upstream_report_listing const& message,
    effect_list& out)
{
    this->placer.receive(now, sender, message, out);
}

void reducer::receive(
    time_point now, vm_id sender, flow_lookup const& message, effect_list& out)
{
    this->tagged.receive(now, sender, message, out);
}

void reducer::receive(
    time_point now, vm_id, flow_binding const& message, effect_list& out)
{
    this->tagged.receive(now, message, out);
}

routing_context reducer::context()
{
    return {this->settings.self, this->members,       this->ownership,
            this->pin_store,     this->placer,        this->admitter,
            this->predictions,   *this->declarations, this->current_permission};
}

} // namespace cairnhead
