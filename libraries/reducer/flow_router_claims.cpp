#include <reducer/flow_router.hpp>

#include <base/ipv4.hpp>

/// What a VM does with a pin that rides on a packet from another VM.
namespace cairnhead
{

namespace
{

/// Whether service and upstream belong together, as far as both are known.
bool is_claim_within_one_organisation(
    directory const& known, pin_claim const& claim)
{
    service const* const claimed = known.find_service(claim.service);
    upstream const* const target = known.find_upstream(claim.upstream);
    if (claimed == nullptr || target == nullptr)
        return true;
    return claimed->organisation == target->organisation;
}

} // namespace

pin_claim const* flow_router::consistent_claim() const
{
    std::optional<pin_claim> const& claim = this->packet.frame->claim;
    if (!claim || !this->is_claim_consistent(*claim))
        return nullptr;
    return &*claim;
}

void flow_router::store_backup(pin* held)
{
    pin_claim const* const claim = this->consistent_claim();
    if (claim == nullptr)
        return this->drop(drop_reason::service_mismatch);
    if (held != nullptr && this->is_replaced_by(*held, *claim))
    {
        this->context.release(this->now, *held);
        held = nullptr;
    }
    if (held == nullptr)
        held = this->context.insert(this->now, *claim);
    // With a full table the packet still goes on: the owner has the pin.
    if (held == nullptr)
        return this->send_upstream(claim->upstream);
    if (held->upstream != claim->upstream)
        return this->keep_conflicting_pin(*held, *claim);
    this->context.pins.set_state(this->now, *held, claim->state);
    if (this->packet.phase == packet_phase::reset)
        this->context.pins.set_reset(this->now, *held);
    this->send_upstream(this->note_copied(*held).upstream);
}

bool flow_router::is_replaced_by(pin const& held, pin_claim const& claim) const
{
    // The owner decided anew: an opening moved away from an upstream that
    // never answered, or the caller reuses the ports of an ended flow.
    return held.upstream != claim.upstream &&
           (held.state == pin_state::opening || this->is_syn());
}

void flow_router::keep_conflicting_pin(pin const& held, pin_claim const& claim)
{
    // Two halves of a split fleet pinned the flow differently. The pin that
    // stands here stays: an established flow never moves.
    this->effects.emplace_back(report{
        report_kind::pin_conflict,
        format_ipv4(ipv4_address(held.upstream.value())),
        format_ipv4(ipv4_address(claim.upstream.value()))});
    this->send_upstream(held.upstream);
}

void flow_router::answer_second_chance(pin* held)
{
    if (held == nullptr || this->is_new_flow_of(*held))
        return this->seek_pin();
    if (this->holders.owner == this->context.self.id)
        return this->forward_pinned(*held);
    if (!this->context.members.is_reachable(this->holders.owner))
        return this->send_by_own_pin(*held);
    this->send_peer_with_claim(this->holders.owner, frame_role::adopt, *held);
}

void flow_router::adopt(pin* held)
{
    pin_claim const* const claim = this->consistent_claim();
    if (claim == nullptr)
        return this->drop(drop_reason::service_mismatch);
    if (held != nullptr)
        return this->forward_pinned(*held);
    pin* const adopted = this->context.insert(this->now, *claim);
    // With a full table the flow still goes on; the next packet asks again.
    if (adopted == nullptr)
        return this->send_upstream(claim->upstream);
    adopted->refresh_at = this->now;
    this->forward_pinned(*adopted);
}

bool flow_router::is_claim_consistent(pin_claim const& claim) const
{
    if (claim.flow != this->packet.flow)
        return false;
    // A packet of one organisation must never reach another's upstream, also
    // when the VM that sent the claim is wrong. What is not known here yet
    // cannot be checked and is trusted: the frame is authenticated.
    service const* const addressed =
        this->context.declarations.find_service(this->packet.destination);
    service const* const claimed =
        this->context.declarations.find_service(claim.service);
    bool const is_of_another = addressed != nullptr && claimed != nullptr &&
                               addressed->organisation != claimed->organisation;
    return !is_of_another &&
           is_claim_within_one_organisation(this->context.declarations, claim);
}

void store_copied_pins(
    time_point now, routing_context const& context, pin_batch const& batch)
{
    for (pin_claim const& claim : batch.pins)
    {
        if (context.pins.find(claim.flow) != nullptr)
            continue;
        if (!is_claim_within_one_organisation(context.declarations, claim))
            continue;
        pin* const added = context.insert(now, claim);
        if (added == nullptr)
            continue;
        added->copied_epoch = context.ownership.epoch();
        if (context.is_owner_of(claim.flow))
            context.count_flow(now, *added);
    }
}

} // namespace cairnhead
