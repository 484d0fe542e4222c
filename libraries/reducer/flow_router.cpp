#include <reducer/flow_router.hpp>

#include <tuple>

/// The way of a packet to the VM or upstream that is next.
namespace cairnhead
{

namespace
{

pin_claim claim_of(pin const& held)
{
    return {held.flow, held.service, held.upstream, held.state};
}

} // namespace

flow_router::flow_router(
    time_point initial_now,
    pin_settings const& initial_settings,
    routing_context const& initial_context,
    packet_arrived const& initial_packet,
    effect_list& initial_effects)
    : now(initial_now), settings(initial_settings), context(initial_context),
      packet(initial_packet), effects(initial_effects)
{
}

void flow_router::route()
{
    pin* const held = this->find_living_pin();
    if (this->context.ownership.is_empty())
        return this->route_without_owners(held);
    this->holders = this->context.ownership.holders_of(this->packet.flow);
    if (!this->packet.frame)
        return this->route_from_ingress(held);
    this->route_by_role(this->packet.frame->role, held);
}

pin* flow_router::find_living_pin()
{
    pin* const held = this->context.pins.find(this->packet.flow);
    if (held == nullptr || held->expires_at > this->now)
        return held;
    // The sweep comes by only every few seconds. A pin used after its expiry
    // may say otherwise than the copy, which expired as well and was replaced.
    this->context.release(this->now, *held);
    return nullptr;
}

void flow_router::send_by_own_pin(pin& held)
{
    // Not `touch` alone: an opening confirmed here, while its owner is out of
    // reach, would expire as if nobody had ever answered it.
    std::ignore = this->advance_state(held);
    this->send_upstream(held.upstream);
}

void flow_router::route_without_owners(pin* held)
{
    if (held == nullptr)
        return this->drop(drop_reason::not_ready);
    // The last VM is leaving: it owns nothing any more, and goes on serving
    // what it has.
    this->send_by_own_pin(*held);
}

void flow_router::route_by_role(frame_role role, pin* held)
{
    switch (role)
    {
    case frame_role::to_owner:
        return this->route_from_ingress(held);
    case frame_role::store_backup:
        return this->store_backup(held);
    case frame_role::second_chance:
        return this->answer_second_chance(held);
    case frame_role::adopt:
        return this->adopt(held);
    case frame_role::exhausted:
        return this->decide_unknown(held);
    }
}

void flow_router::route_from_ingress(pin* held)
{
    if (this->holders.owner == this->context.self.id)
        return this->route_as_owner(held);
    if (held != nullptr && this->may_send_directly(*held))
        return this->send_by_own_pin(*held);
    this->route_towards_owner(held);
}

void flow_router::route_as_owner(pin* held)
{
    if (held == nullptr)
        return this->seek_pin();
    if (!this->is_new_flow_of(*held))
        return this->forward_pinned(*held);
    // The caller reuses the ports of a flow that it closed.
    this->context.release(this->now, *held);
    this->place_opening();
}

void flow_router::route_towards_owner(pin* held)
{
    // VMs whose views differ could pass a packet on and on as the owner's.
    if (this->has_visited_enough())
        return this->drop(drop_reason::visited_too_many);
    if (this->may_ask(this->holders.owner))
        return this->ask_owner(held);
    // Without this, every packet of the flow would be lost between the
    // owner's death and its removal from the members.
    if (held != nullptr && !this->is_new_flow_of(*held))
        return this->send_by_own_pin(*held);
    if (this->may_ask(this->holders.backup))
        return this->send_peer(this->holders.backup, frame_role::to_owner);
    std::optional<vm_id> const next = this->next_earlier_holder();
    if (next && !this->is_opening_phase())
        return this->send_peer(*next, frame_role::second_chance);
    this->drop(drop_reason::owner_unreachable);
}

void flow_router::ask_owner(pin* held)
{
    if (held == nullptr || this->is_syn())
        return this->send_peer(this->holders.owner, frame_role::to_owner);
    // The pin rides along: an owner that restarted has none, and would not ask
    // a VM that is already among those visited.
    held->refresh_at = this->now + this->settings.refresh_period;
    this->send_peer_with_claim(this->holders.owner, frame_role::adopt, *held);
}

bool flow_router::may_send_directly(pin const& held) const
{
    // Only the backup: a pin left on a former holder may be of an ended flow
    // whose ports the caller reuses. And only while the owner has heard of the
    // flow lately, as it would let the pin expire otherwise.
    return this->holders.backup == this->context.self.id &&
           held.state == pin_state::established &&
           this->now < held.refresh_at &&
           (this->packet.phase == packet_phase::ongoing ||
            this->packet.phase == packet_phase::datagram);
}

bool flow_router::is_new_flow_of(pin const& held) const
{
    if (!this->is_syn())
        return false;
    // The address may belong to another organisation now: a flow that stands
    // stays, but what opens anew must not reach the former one's upstream.
    service const* const declared =
        this->context.declarations.find_service(this->packet.destination);
    bool const is_reallotted =
        declared != nullptr && declared->id != held.service;
    return held.state == pin_state::closing || is_reallotted;
}

bool flow_router::is_syn() const
{
    return this->packet.phase == packet_phase::opening ||
           this->packet.phase == packet_phase::opening_with_data;
}

bool flow_router::is_opening_phase() const
{
    return this->is_syn() || this->packet.phase == packet_phase::datagram;
}

bool flow_router::has_visited(vm_id vm) const
{
    if (!this->packet.frame)
        return false;
    return this->packet.frame->visited.contains(vm);
}

bool flow_router::has_visited_enough() const
{
    return this->packet.frame &&
           this->packet.frame->visited.size() >= maximum_visited_vms;
}

bool flow_router::may_ask(vm_id vm) const
{
    return vm != this->context.self.id && !this->has_visited(vm) &&
           this->context.members.is_reachable(vm);
}

std::optional<vm_id> flow_router::next_to_ask() const
{
    if (this->has_visited_enough() || !this->may_have_pin_elsewhere())
        return std::nullopt;
    if (this->may_ask(this->holders.backup))
        return this->holders.backup;
    return this->next_earlier_holder();
}

bool flow_router::may_have_pin_elsewhere() const
{
    // A new opening has no pin anywhere, unless its slot changed holders
    // within the life of such a pin: then the caller may be repeating one that
    // an earlier holder placed. Asking always would double the cost of each.
    ownership_table const& ownership = this->context.ownership;
    flow_id const flow = this->packet.flow;
    switch (this->packet.phase)
    {
    case packet_phase::opening:
    case packet_phase::opening_with_data:
        return ownership.has_changed_since(
            this->now - this->settings.opening_lifetime, flow);
    case packet_phase::datagram:
        return ownership.has_changed_since(
            this->now - this->settings.media_lifetime, flow);
    case packet_phase::ongoing:
    case packet_phase::closing:
    case packet_phase::reset:
        return true;
    }
    return true;
}

std::optional<vm_id> flow_router::next_earlier_holder() const
{
    for (vm_id const vm : this->context.ownership.earlier_holders_of(
             this->now, this->packet.flow))
    {
        if (!this->may_ask(vm))
            continue;
        return vm;
    }
    return std::nullopt;
}

void flow_router::seek_pin()
{
    std::optional<vm_id> const next = this->next_to_ask();
    if (next)
        return this->send_peer(*next, frame_role::second_chance);
    if (this->holders.owner != this->context.self.id)
        return this->give_back_to_owner();
    this->decide_unknown(nullptr);
}

void flow_router::give_back_to_owner()
{
    if (!this->context.members.is_reachable(this->holders.owner))
        return this->drop(drop_reason::owner_unreachable);
    this->send_peer(this->holders.owner, frame_role::exhausted);
}

void flow_router::forward_pinned(pin& held)
{
    this->context.count_flow(this->now, held);
    bool const is_repeat = this->packet.phase == packet_phase::opening &&
                           held.state == pin_state::opening;
    if (is_repeat && !this->repeat_opening(held))
        return this->drop(drop_reason::refused_silently);
    bool const has_advanced = this->advance_state(held);
    bool const is_copy_due =
        has_advanced || this->now >= held.refresh_at ||
        !this->context.ownership.is_copied(held.flow, held.copied_epoch);
    if (!is_copy_due)
        return this->send_upstream(held.upstream);
    this->forward_with_copy(held);
    // If the packet with the new state is lost on its way, the backup's pin
    // expires as an opening before the usual refresh.
    if (has_advanced)
        held.refresh_at = this->now + this->settings.opening_lifetime / 4;
}

bool flow_router::advance_state(pin& held)
{
    switch (this->packet.phase)
    {
    case packet_phase::opening:
    case packet_phase::opening_with_data:
        // A stray SYN of a living flow changes nothing; the upstream answers
        // it with a challenge ACK (RFC 9293 section 3.10.7.4).
        return false;
    case packet_phase::ongoing:
    case packet_phase::datagram:
        if (held.state == pin_state::opening)
        {
            this->confirm_opening(held);
            return true;
        }
        this->context.pins.touch(this->now, held);
        return false;
    case packet_phase::closing:
    {
        bool const is_first = held.state != pin_state::closing;
        this->context.pins.set_state(this->now, held, pin_state::closing);
        return is_first;
    }
    case packet_phase::reset:
        this->context.pins.set_reset(this->now, held);
        return true;
    }
    return false;
}

void flow_router::confirm_opening(pin& held)
{
    duration const latency = this->now - this->context.pins.opened_at(held);
    this->context.pins.set_state(this->now, held, pin_state::established);
    // A pin adopted with this very packet does not know when it was opened.
    if (latency == duration::zero())
        return;
    this->context.placer.opening_confirmed(
        this->now, held.upstream, latency, this->effects);
    this->effects.emplace_back(
        observe_handshake{held.organisation, held.traffic, latency});
}

void flow_router::forward_with_copy(pin& held)
{
    vm_id const other = this->holders.backup == this->context.self.id
                            ? this->holders.owner
                            : this->holders.backup;
    if (other == this->context.self.id ||
        !this->context.members.is_reachable(other))
    {
        held.refresh_at = this->now + this->settings.refresh_period;
        return this->send_upstream(held.upstream);
    }
    this->send_peer_with_claim(
        other, frame_role::store_backup, this->note_copied(held));
}

pin& flow_router::note_copied(pin& held) const
{
    held.refresh_at = this->now + this->settings.refresh_period;
    held.copied_epoch = this->context.ownership.epoch();
    return held;
}

void flow_router::drop(drop_reason reason)
{
    this->effects.emplace_back(drop_packet{this->packet.token, reason});
}

void flow_router::send_upstream(upstream_id upstream)
{
    this->effects.emplace_back(send_to_upstream{this->packet.token, upstream});
}

void flow_router::send_peer(vm_id target, frame_role role)
{
    peer_frame frame;
    frame.sender = this->context.self.id;
    frame.role = role;
    if (this->packet.frame)
        frame.visited = this->packet.frame->visited;
    bool const is_counted_visit = role != frame_role::exhausted;
    if (is_counted_visit && !this->has_visited(this->context.self.id))
        frame.visited.push_back(this->context.self.id);
    this->effects.emplace_back(send_to_peer{this->packet.token, target, frame});
}

void flow_router::send_peer_with_claim(
    vm_id target, frame_role role, pin const& held)
{
    peer_frame frame;
    frame.sender = this->context.self.id;
    frame.role = role;
    frame.claim = claim_of(held);
    this->effects.emplace_back(send_to_peer{this->packet.token, target, frame});
}

} // namespace cairnhead
