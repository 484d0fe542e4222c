#include <tagging/tag_router.hpp>

#include <base/hash.hpp>

#include <numeric>

/// Placement of openings, and their retries at another upstream when no caller
/// confirms them.
namespace cairnhead
{

namespace
{

using std::chrono_literals::operator""s;

/// Lifetime of the entry of an opening that no caller confirmed; callers give
/// up earlier.
constexpr duration opening_lifetime = 3s;

/// When callers first retransmit an opening.
constexpr duration first_retransmission = std::chrono::milliseconds(200);

/// A SYN that follows the flow's own SYN by this much or more is not a
/// retransmission: the caller reuses the ports.
constexpr duration retransmission_window = 3s;

} // namespace

void tag_router::route_opening(
    time_point now, packet_arrived const& packet, effect_list& effects)
{
    if (this->pauses.may_be_placed_elsewhere(now, packet.waited))
        return this->drop(
            packet, drop_reason::view_expired, flow_rule::held_by_pause,
            effects);
    tagged_flow* const flow = this->flows.find(packet.flow);
    bool const is_retransmission =
        flow != nullptr && now < flow->opened_at + retransmission_window &&
        flow->state != tagged_flow_state::closing;
    if (is_retransmission)
        return this->route_retransmission(now, packet, *flow, effects);
    this->remove_flow(packet.flow);
    if (!may_be_placed_elsewhere(packet))
        this->forget_earlier_flow(packet.flow);
    this->place_opening(now, packet, upstream_tag(), effects);
}

void tag_router::forget_earlier_flow(flow_id flow)
{
    this->bindings.remove(flow);
    this->contested.remove(flow);
    (void)this->held.take(flow);
}

void tag_router::route_retransmission(
    time_point now,
    packet_arrived const& packet,
    tagged_flow& flow,
    effect_list& effects)
{
    tagged_upstream* const upstream = this->upstream_table.find(flow.upstream);
    bool const has_data = packet.phase == packet_phase::opening_with_data;
    bool const may_stay =
        upstream != nullptr &&
        this->upstream_table.may_resend_opening(now, *upstream) &&
        this->route_by_address.contains(packet.destination);
    // The first upstream may have processed the data already, so no other
    // upstream may get it.
    if (has_data && upstream != nullptr)
        return this->send_opening(packet, *upstream, effects);
    // The copy is late. A provisional tag would replace the upstream's own in
    // its answers.
    if (flow.state == tagged_flow_state::established && upstream != nullptr)
        return send(packet, *upstream, upstream->tag, effects);
    // The timeout runs from when this VM sent the opening, not from when the
    // caller did. After a pause this VM receives the opening and its
    // retransmission together, and would otherwise consider every upstream
    // dead.
    bool const is_unanswered =
        flow.state == tagged_flow_state::opening &&
        now >= flow.opened_at + this->settings.answer_timeout;
    if (may_stay && !is_unanswered)
        return this->send_opening(packet, *upstream, effects);
    if (upstream != nullptr && is_unanswered)
        this->record_unanswered(now, *upstream, effects);
    upstream_tag const excluded = flow.upstream;
    this->remove_flow(packet.flow);
    // The opening carries no data, and the caller confirms only the first
    // upstream that answers. So sending it to a second upstream cannot cause a
    // request to be processed twice.
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
        return this->drop(
            packet, drop_reason::unknown_destination, flow_rule::no_route,
            effects);
    // The opening's retransmission may reach another VM, and a second upstream
    // would process the data again. Callers retransmit the opening without the
    // data (RFC 7413 section 4.1.3).
    bool const may_run_twice =
        packet.phase == packet_phase::opening_with_data &&
        !route->second->is_idempotent;
    if (may_run_twice)
        return this->drop(
            packet, drop_reason::refused_silently, flow_rule::data_in_opening,
            effects);
    bool const is_first_attempt = excluded == upstream_tag();
    if (is_first_attempt && !may_be_placed_elsewhere(packet))
        this->record_load(now, *route->second, packet.flow, effects);
    std::optional<flow_rule> refusal;
    if (is_first_attempt)
        refusal = this->refusal_for_delay(now, packet, *route->second);
    if (refusal)
        return this->refuse(
            now, packet,
            {.rule = *refusal,
             .pool = std::string(this->pool_of(*route->second, packet.flow)),
             .priority = route->second->priority},
            effects);
    upstream_choice const choice =
        this->choose(now, *route->second, packet.flow, excluded);
    if (choice.chosen == nullptr)
        return this->refuse(now, packet, choice, effects);
    flow_ends const ends{packet.source, packet.destination};
    effects.emplace_back(
        this->make_decision(flow_step::placed, packet.flow, ends, choice));
    auto const history = is_first_attempt && !may_be_placed_elsewhere(packet)
                             ? opening_history::first_offer
                             : opening_history::offered_before;
    this->add_opening(
        now, packet.flow, ends, packet.progress.sequence, *choice.chosen,
        history);
    this->schedule_retry(now, packet);
    this->send_opening(packet, *choice.chosen, effects);
    if (history == opening_history::offered_before)
        this->record_further_offer(
            now,
            {packet.flow, packet.source, packet.destination, packet.bytes,
             packet.progress.sequence, excluded, choice.chosen->tag},
            effects);
}

void tag_router::send_opening(
    packet_arrived const& packet,
    tagged_upstream const& upstream,
    effect_list& effects) const
{
    upstream_tag const tag = this->upstream_table.opening_tag_of(
        upstream, packet.progress.sequence, offer_standing::latest);
    send(packet, upstream, tag, effects);
}

// Retransmissions are counted in the acknowledgement number.
bool tag_router::may_be_placed_elsewhere(packet_arrived const& packet)
{
    return packet.progress.acknowledged != 0 ||
           packet.waited >= first_retransmission;
}

void tag_router::refuse(
    time_point now,
    packet_arrived const& packet,
    upstream_choice const& choice,
    effect_list& effects) const
{
    effects.emplace_back(refuse_opening{
        .token = packet.token,
        .organisation = {},
        .style = refusal_style::reset,
        .reason = choice.rule == flow_rule::queue_too_long ||
                          choice.rule == flow_rule::less_urgent
                      ? refusal_reason::upstreams_full
                      : refusal_reason::no_healthy_upstream,
        .retry_at = now + 1s});
    effects.emplace_back(this->make_decision(
        flow_step::refused, packet.flow, {packet.source, packet.destination},
        choice));
}

upstream_choice tag_router::choose(
    time_point now,
    published_route const& route,
    flow_id flow,
    upstream_tag excluded)
{
    std::string_view const pool = this->pool_of(route, flow);
    opening_kind const kind = this->kind_of(now, route, flow);
    upstream_choice choice =
        this->upstream_table.choose(now, pool, excluded, kind);
    if (choice.chosen == nullptr && excluded != upstream_tag())
        choice = this->upstream_table.choose(now, pool, upstream_tag(), kind);
    choice.priority = route.priority;
    return choice;
}

void tag_router::add_opening(
    time_point now,
    flow_id flow,
    flow_ends const& ends,
    std::uint32_t sequence,
    tagged_upstream& chosen,
    opening_history history)
{
    this->upstream_table.record_opening(now, chosen);
    this->add_flow(
        flow, {.caller = ends.caller,
               .destination = ends.destination,
               .upstream = chosen.tag,
               .state = tagged_flow_state::opening,
               .opening_sequence = sequence,
               .opened_at = now,
               .expires_at = now + opening_lifetime,
               .progress = {},
               .last_packet_at = now,
               .is_contested = history == opening_history::offered_before,
               .requests = request_timer(flow_origin::opened_here)});
}

void tag_router::schedule_retry(time_point now, packet_arrived const& packet)
{
    // An upstream may have processed the data of an opening, so only openings
    // without data are retried.
    if (packet.phase != packet_phase::opening || packet.bytes.empty())
        return;
    this->unconfirmed.add(
        {.flow = packet.flow,
         .destination = packet.destination,
         .bytes = {packet.bytes.begin(), packet.bytes.end()},
         .retries = 0,
         .due_at = now + this->settings.retry_after});
}

void tag_router::retry_opening(
    time_point now, pending_opening opening, effect_list& effects)
{
    tagged_flow* const flow = this->flows.find(opening.flow);
    bool const is_unconfirmed =
        flow != nullptr && flow->state == tagged_flow_state::opening;
    bool const may_be_confirmed_elsewhere =
        !this->confirmations.are_delivered_here() ||
        (flow != nullptr && this->pauses.is_before_pause_end(flow->opened_at));
    if (!is_unconfirmed)
        return;
    flow_ends const ends{flow->caller, opening.destination};
    std::uint32_t const sequence = flow->opening_sequence;
    if (may_be_confirmed_elsewhere)
        return this->contested.record(
            now, {opening.flow, ends.caller, ends.destination, opening.bytes,
                  sequence, flow->upstream, flow->upstream});
    auto const waited = now - flow->opened_at;
    // The caller retransmits its opening only after 200 ms; most requests that
    // a person waits for are late by then.
    upstream_tag const silent = flow->upstream;
    tagged_upstream* const silent_upstream = this->upstream_table.find(silent);
    bool const may_retry = opening.retries < this->settings.maximum_retries;
    if (!may_retry)
    {
        flow_decision abandoned = this->make_decision(
            flow_step::abandoned, flow_rule::opening_unanswered, opening.flow,
            ends, silent_upstream);
        abandoned.waited = waited;
        effects.emplace_back(abandoned);
        return;
    }
    if (silent_upstream != nullptr)
        this->record_unanswered(now, *silent_upstream, effects);
    auto const route = this->route_by_address.find(opening.destination);
    if (route == this->route_by_address.end())
        return;
    upstream_choice const choice =
        this->choose(now, *route->second, opening.flow, silent);
    if (choice.chosen == nullptr)
        return;
    flow_decision retried =
        this->make_decision(flow_step::reoffered, opening.flow, ends, choice);
    retried.waited = waited;
    effects.emplace_back(retried);
    this->remove_flow(opening.flow);
    this->add_opening(
        now, opening.flow, ends, sequence, *choice.chosen,
        opening_history::offered_before);
    send_copy_of_opening(
        opening.bytes, *choice.chosen,
        this->upstream_table.opening_tag_of(
            *choice.chosen, sequence, offer_standing::latest),
        effects);
    this->record_further_offer(
        now,
        {opening.flow, ends.caller, ends.destination, opening.bytes, sequence,
         silent, choice.chosen->tag},
        effects);
    ++opening.retries;
    opening.due_at = now + this->settings.retry_after;
    this->unconfirmed.add(std::move(opening));
}

std::string_view
tag_router::pool_of(published_route const& route, flow_id flow) const
{
    std::uint64_t const total = std::accumulate(
        route.pools.begin(), route.pools.end(), std::uint64_t{0},
        [](std::uint64_t sum, weighted_pool const& each)
        {
            return sum + each.weight;
        });
    if (total == 0)
        return {};
    // Drawn by the flow's hash, so that all VMs send retransmissions of its
    // opening to the same pool.
    std::uint64_t point = hash_pair(flow.value(), 0) % total;
    for (weighted_pool const& each : route.pools)
    {
        if (point < each.weight)
            return each.pool;
        point -= each.weight;
    }
    return {};
}

} // namespace cairnhead
