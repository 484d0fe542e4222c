#include <reducer/flow_router.hpp>

/// What the owner does with a flow that has no pin, or no answer yet.
namespace cairnhead
{

void flow_router::decide_unknown(pin* held)
{
    if (held != nullptr && !this->is_new_flow_of(*held))
        return this->forward_pinned(*held);
    if (this->holders.owner != this->context.self.id)
        return this->drop(drop_reason::owner_unreachable);
    if (this->is_opening_phase())
        return this->place_opening();
    this->send_by_prediction();
}

bool flow_router::may_decide()
{
    // A joiner knows itself alone at first, so it takes itself for the owner
    // of every flow: it would place what others own, and by prediction reset
    // flows that they know.
    if (this->context.permission == placing_permission::joining)
        this->drop(drop_reason::not_ready);
    // A VM that slept may have missed that an upstream left, or that another
    // VM owns the flow now: it would place work where none may go any more.
    if (this->context.permission == placing_permission::view_expired)
        this->drop(drop_reason::view_expired);
    return this->context.permission == placing_permission::allowed;
}

void flow_router::place_opening()
{
    if (!this->may_decide())
        return;
    service const* const target =
        this->context.declarations.find_service(this->packet.destination);
    if (target == nullptr)
        return this->drop(drop_reason::unknown_destination);
    // Data in a SYN may run at each upstream that gets the SYN, and two
    // halves of a split fleet may place it twice. Dropping makes the caller
    // repeat the SYN without data (RFC 7413 section 4.1.3).
    bool const may_run_twice =
        this->packet.phase == packet_phase::opening_with_data &&
        !target->is_idempotent;
    if (may_run_twice)
        return this->drop(drop_reason::refused_silently);
    std::optional<admission_refusal> const refusal =
        this->context.admitter.admit(
            this->now, *target,
            static_cast<std::uint32_t>(this->context.pins.size()));
    if (refusal)
        return this->refuse(*target, refusal->reason, refusal->retry_at);
    this->place_admitted(*target);
}

void flow_router::place_admitted(service const& service)
{
    placement_result const result =
        this->context.placer.choose(this->now, service, this->packet.flow);
    if (auto const* const refused = std::get_if<not_placed>(&result))
        return this->refuse(service, refused->reason, refused->retry_at);
    bool const is_datagram = this->packet.phase == packet_phase::datagram;
    pin_claim const claim{
        this->packet.flow, service.id, std::get<placed>(result).upstream,
        is_datagram ? pin_state::established : pin_state::opening};
    // The pin of an ended flow from the same ports may still be here.
    pin* const ended = this->context.pins.find(this->packet.flow);
    if (ended != nullptr)
        this->context.release(this->now, *ended);
    pin* const made = this->context.insert(this->now, claim);
    if (made == nullptr)
        return this->refuse(
            service, refusal_reason::table_full,
            this->now + this->settings.opening_lifetime);
    made->may_have_run = this->packet.phase != packet_phase::opening;
    this->context.count_flow(this->now, *made);
    this->forward_with_copy(*made);
}

void flow_router::send_by_prediction()
{
    if (!this->may_decide())
        return;
    service const* const target =
        this->context.declarations.find_service(this->packet.destination);
    if (target == nullptr)
        return this->drop(drop_reason::unknown_destination);
    // Never reset what is not known: a wrong upstream would reset a flow that
    // may well live. Only services whose flows nearly always stand where
    // prediction puts them take that risk, for the sake of those that do.
    if (target->prefer != placement_preference::continuity)
        return this->drop(drop_reason::unknown_flow);
    if (this->may_holder_be_cut_off() &&
        !this->context.predictions.may_predict(this->now, this->packet.flow))
        return this->drop(drop_reason::unknown_flow);
    std::optional<upstream_id> const predicted =
        this->context.placer.predict(*target, this->packet.flow);
    if (!predicted)
        return this->drop(drop_reason::unknown_flow);
    pin* const made = this->context.insert(
        this->now,
        {this->packet.flow, target->id, *predicted, pin_state::established});
    if (made == nullptr)
        return this->send_upstream(*predicted);
    this->context.count_flow(this->now, *made);
    this->forward_with_copy(*made);
}

bool flow_router::may_holder_be_cut_off() const
{
    // Holders that died leave others of their failure domain within reach.
    // Where a whole domain is out of reach, they may live and have the pin,
    // and the caller's next repetition may reach them.
    membership const& members = this->context.members;
    for (vm_id const vm : this->context.ownership.earlier_holders_of(
             this->now, this->packet.flow))
    {
        member const* const known = members.find(vm);
        if (known == nullptr || members.is_reachable(vm))
            continue;
        if (!members.is_domain_reachable(known->domain))
            return true;
    }
    return false;
}

void flow_router::refuse(
    service const& service, refusal_reason reason, time_point retry_at)
{
    this->effects.emplace_back(refuse_opening{
        this->packet.token, service.organisation, service.refusal, reason,
        retry_at});
}

bool flow_router::repeat_opening(pin& held)
{
    // One caller that never hears its answer repeats many times. Counted each
    // time, it alone could eject a healthy upstream of a quiet service.
    if (!held.is_repeated)
        this->context.placer.opening_retransmitted(
            this->now, held.upstream, this->effects);
    held.is_repeated = true;
    service const* const target =
        this->context.declarations.find_service(held.service);
    if (target == nullptr)
        return true;
    if (!this->context.admitter.may_repeat(this->now, *target))
        return false;
    bool const is_dead =
        this->context.placer.is_ejected(this->now, held.upstream);
    if (is_dead && !held.may_have_run)
        this->move_opening(held, *target);
    return true;
}

void flow_router::move_opening(pin& held, service const& service)
{
    placement_result const result =
        this->context.placer.choose(this->now, service, held.flow);
    auto const* const chosen = std::get_if<placed>(&result);
    if (chosen == nullptr || chosen->upstream == held.upstream)
        return;
    this->context.uncount_flow(this->now, held);
    held.upstream = chosen->upstream;
    held.is_repeated = false;
    // The backup still has the old upstream until this packet reaches it.
    held.refresh_at = this->now;
    this->context.count_flow(this->now, held);
}

} // namespace cairnhead
