#include <tagging/tag_router.hpp>

#include <algorithm>
#include <optional>
#include <utility>

/// Flows that move here from other VMs with a provisional tag: lookups of their
/// upstream, and the packets that wait for the answers.
namespace cairnhead
{

namespace
{

using std::chrono_literals::operator""ms;

/// How long packets wait for another VM's answer. Callers retransmit after
/// 200 ms.
constexpr duration lookup_timeout = 30ms;

/// Packets that were held for longer have been retransmitted, perhaps through
/// another VM.
constexpr duration maximum_hold = 200ms;

} // namespace

void tag_router::set_peers(std::span<vm_id const> all)
{
    this->peers.assign(all.begin(), all.end());
}

tag_router::named_upstream tag_router::upstream_of(packet_arrived const& packet)
{
    tagged_flow const* const flow = this->flows.find(packet.flow);
    // Several upstreams may have got this flow's opening, from this VM or from
    // the VM that placed it. The caller confirmed the answer of one of them. A
    // late answer of another upstream can change the tag afterwards, and that
    // upstream would reset a flow that it does not hold. The caller's
    // acknowledgement numbers show that the flow is the same.
    std::uint32_t const acknowledged = packet.progress.acknowledged;
    bool const is_settled =
        flow != nullptr && flow->state != tagged_flow_state::opening;
    bool const is_same_flow =
        is_settled && flow->progress &&
        may_be_same_flow(acknowledged, flow->progress->acknowledged);
    if (is_same_flow)
    {
        if (auto* const known = this->upstream_table.find(flow->upstream))
            return {known, flow_rule::named_by_tag, tag_certainty::certain};
    }
    if (auto* const named = this->upstream_table.find(*packet.tag))
        return {named, flow_rule::named_by_tag, tag_certainty::certain};
    auto const told = this->bindings.find(packet.flow, acknowledged);
    if (told)
    {
        if (auto* const known = this->upstream_table.find(*told))
            return {known, flow_rule::named_by_peer, tag_certainty::certain};
    }
    // An answer to the opening that this VM placed: the caller confirms it.
    bool const is_placed_here = flow != nullptr && !is_settled;
    if (is_placed_here)
    {
        auto* const offered =
            this->find_offered(*packet.tag, flow->opening_sequence);
        if (offered != nullptr)
            return {offered, flow_rule::named_by_tag, tag_certainty::certain};
    }
    return this->upstream_of_provisional(packet);
}

tag_router::named_upstream
tag_router::upstream_of_provisional(packet_arrived const& packet)
{
    std::uint32_t const opening_sequence = packet.progress.sequence - 1;
    auto* const latest = this->upstream_table.find(toggle_provisional(
        *packet.tag, opening_sequence, offer_standing::latest));
    if (latest != nullptr)
        return {
            latest, flow_rule::named_by_provisional_tag,
            tag_certainty::provisional};
    auto* const superseded = this->upstream_table.find(toggle_provisional(
        *packet.tag, opening_sequence, offer_standing::superseded));
    if (superseded != nullptr)
        return {
            superseded, flow_rule::named_by_superseded_tag,
            tag_certainty::ambiguous};
    return {nullptr, flow_rule::unknown_tag, tag_certainty::ambiguous};
}

tagged_upstream*
tag_router::find_offered(upstream_tag tag, std::uint32_t opening_sequence)
{
    for (auto const standing :
         {offer_standing::latest, offer_standing::superseded})
    {
        auto* const found = this->upstream_table.find(
            toggle_provisional(tag, opening_sequence, standing));
        if (found != nullptr)
            return found;
    }
    return nullptr;
}

bool tag_router::hold(
    time_point now,
    packet_arrived const& packet,
    named_upstream const& named,
    effect_list& effects)
{
    bool const is_held = this->held.contains(packet.flow);
    // A flow that finds no room in the table would be looked up for each of its
    // packets.
    bool const may_hold = this->held.has_room() && !packet.bytes.empty() &&
                          this->flows.has_room() && !this->peers.empty();
    if (!may_hold)
        return false;
    // Tags of upstreams that left name none either, and those are more.
    auto const urgency = named.upstream == nullptr ? message_urgency::low
                                                   : message_urgency::usual;
    if (!is_held && !this->budget.take(now, this->peers.size(), urgency))
        return false;
    this->held.add(packet, now + lookup_timeout);
    effects.emplace_back(keep_copy{packet.token});
    if (!is_held)
        this->tell_peers(
            flow_lookup{packet.flow, *packet.tag, packet.progress.acknowledged},
            effects);
    return true;
}

void tag_router::release(
    time_point now, held_flow released, effect_list& effects)
{
    if (now > released.due_at + maximum_hold)
        return;
    // The first packet after an opening may have come late, and alone names
    // the upstream.
    std::stable_partition(
        released.packets.begin(), released.packets.end(),
        [this](held_packet const& packet)
        {
            return this->upstream_of(packet.arrived).certainty !=
                   tag_certainty::ambiguous;
        });
    bool is_guessed = false;
    for (held_packet const& packet : released.packets)
    {
        named_upstream const target = this->upstream_of(packet.arrived);
        if (target.certainty == tag_certainty::ambiguous)
        {
            effects.emplace_back(this->make_decision(
                flow_step::dropped, target.rule, packet.arrived.flow,
                {packet.arrived.source, packet.arrived.destination}, nullptr));
            continue;
        }
        is_guessed |= target.certainty == tag_certainty::provisional;
        this->send_held(now, packet, *target.upstream, target.rule, effects);
    }
    // The next VM to which the flow moves would guess, too.
    if (is_guessed)
        this->tell_binding(now, released.packets.front().arrived, effects);
}

void tag_router::send_held(
    time_point now,
    held_packet const& packet,
    tagged_upstream& upstream,
    flow_rule rule,
    effect_list& effects)
{
    if (this->upstream_table.is_address_taken_over(upstream))
        return this->reset_flow_of_packet(packet.arrived, upstream, effects);
    this->update_flow(now, packet.arrived, upstream, rule, effects);
    registered_upstream const& at = upstream.registered;
    effects.emplace_back(send_copy{
        packet.bytes, {at.address, at.port, at.instance}, upstream.tag});
    this->correct_tag_of(now, packet.arrived, upstream, effects);
}

void tag_router::release_due(time_point now, effect_list& effects)
{
    while (auto due = this->held.take_due(now))
        this->release(now, std::move(*due), effects);
}

void tag_router::receive(
    time_point now,
    vm_id sender,
    flow_lookup const& asked,
    effect_list& effects)
{
    tagged_flow const* const flow = this->flows.find(asked.flow);
    bool const is_unconfirmed =
        flow != nullptr && flow->state == tagged_flow_state::opening;
    tagged_upstream const* const confirmed =
        is_unconfirmed ? this->find_offered(asked.tag, flow->opening_sequence)
                       : nullptr;
    if (confirmed != nullptr)
        return this->give_up_opening(
            now, sender, asked, confirmed->tag, effects);
    auto const known = this->find_binding(asked);
    if (known)
        effects.emplace_back(send_control{
            sender, flow_binding{asked.flow, *known, asked.acknowledged}});
}

std::optional<upstream_tag>
tag_router::find_binding(flow_lookup const& asked) const
{
    tagged_flow const* const flow = this->flows.find(asked.flow);
    bool const is_known =
        flow != nullptr && flow->state != tagged_flow_state::opening &&
        flow->progress &&
        may_be_same_flow(asked.acknowledged, flow->progress->acknowledged);
    if (is_known)
        return flow->upstream;
    return this->bindings.find(asked.flow, asked.acknowledged);
}

void tag_router::give_up_opening(
    time_point now,
    vm_id sender,
    flow_lookup const& asked,
    upstream_tag confirmed,
    effect_list& effects)
{
    // The caller confirmed the opening through another VM. A retry from here
    // would reach upstreams whose answers change the tag of the flow.
    bool const is_contested = this->flows.find(asked.flow)->is_contested;
    this->remove_flow(asked.flow);
    this->record_binding(now, asked.flow, confirmed, asked.acknowledged);
    flow_binding const answer{asked.flow, confirmed, asked.acknowledged};
    if (is_contested && this->budget.take(now, this->peers.size()))
        this->tell_peers(answer, effects);
    else
        effects.emplace_back(send_control{sender, answer});
    this->settle_opening(now, asked.flow, confirmed, effects);
}

void tag_router::receive(
    time_point now, flow_binding const& told, effect_list& effects)
{
    tagged_flow const* const flow = this->flows.find(told.flow);
    bool const is_unconfirmed =
        flow != nullptr && flow->state == tagged_flow_state::opening;
    if (is_unconfirmed)
        this->remove_flow(told.flow);
    this->record_binding(now, told.flow, told.upstream, told.acknowledged);
    this->settle_opening(now, told.flow, told.upstream, effects);
    if (auto released = this->held.take(told.flow))
        this->release(now, std::move(*released), effects);
}

void tag_router::record_binding(
    time_point now,
    flow_id flow,
    upstream_tag upstream,
    std::uint32_t acknowledged)
{
    this->bindings.record(
        now, now + this->settings.flow_lifetime, flow, upstream, acknowledged);
}

void tag_router::tell_binding(
    time_point now, packet_arrived const& packet, effect_list& effects)
{
    tagged_flow const* const flow = this->flows.find(packet.flow);
    if (flow == nullptr)
        return;
    // The flow's entry ends with the idle time that is in force now.
    this->record_binding(
        now, packet.flow, flow->upstream, packet.progress.acknowledged);
    if (!this->budget.take(now, this->peers.size()))
        return;
    this->tell_peers(
        flow_binding{packet.flow, flow->upstream, packet.progress.acknowledged},
        effects);
}

void tag_router::tell_peers(
    control_body const& message, effect_list& effects) const
{
    for (vm_id const peer : this->peers)
        effects.emplace_back(send_control{peer, message});
}

} // namespace cairnhead
