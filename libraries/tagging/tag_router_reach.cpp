#include <tagging/tag_router.hpp>

#include <base/ipv4.hpp>

#include <algorithm>
#include <optional>
#include <utility>

/// Reachability: what the callers' packets show about upstreams, checks of
/// silent upstreams, and the resets of flows whose upstream is unreachable.
namespace cairnhead
{

namespace
{

using std::chrono_literals::operator""ms;

/// Data that arrives again sooner than this is reordered, not retransmitted:
/// callers retransmit after 200 ms.
constexpr duration reordering_window = 100ms;

std::optional<time_point> opening_time(tagged_flow const& flow)
{
    if (flow.opened_at == time_point::min())
        return std::nullopt;
    return flow.opened_at;
}

} // namespace

bool tag_router::is_check_due(
    time_point now, tagged_upstream const& suspect) const
{
    bool const is_suspect = suspect.reach.is_silent() ||
                            this->domains.is_unreachable(suspect.domain);
    return is_suspect && suspect.reach.is_check_due(now, this->settings);
}

void tag_router::start_due_checks(time_point now, effect_list& effects)
{
    for (upstream_tag const tag : this->suspects)
    {
        tagged_upstream* const suspect = this->upstream_table.find(tag);
        if (suspect == nullptr || !this->is_check_due(now, *suspect))
            continue;
        this->start_check(now, *suspect, effects);
    }
    this->suspects.clear();
}

void tag_router::start_check(
    time_point now, tagged_upstream& suspect, effect_list& effects)
{
    suspect.reach.start_check(now, this->settings);
    registered_upstream const& at = suspect.registered;
    effects.emplace_back(check_upstream{
        suspect.tag,
        {at.address, at.port},
        this->upstream_table.choose_reference_upstreams(suspect.tag),
        at.life});
}

void tag_router::recheck_unreachable(time_point now)
{
    for (tagged_upstream const& upstream : this->upstream_table.all())
    {
        if (upstream.reach.is_unreachable(now) && !upstream.missing_since)
            this->suspects.push_back(upstream.tag);
    }
}

void tag_router::receive(
    time_point now, upstream_checked const& result, effect_list& effects)
{
    tagged_upstream* const upstream =
        this->upstream_table.find(result.upstream);
    // The check of an earlier incarnation says nothing about the one that runs
    // now.
    if (upstream == nullptr || upstream->registered.life != result.life)
        return;
    if (result.outcome == connection_outcome::refused)
        this->avoid(now, *upstream, effects);
    bool const was_unreachable = upstream->reach.is_unreachable(now);
    auto const change =
        upstream->reach.end_check(now, result.outcome, this->settings);
    if (change == reach_change::none)
        return;
    bool const is_unreachable = change == reach_change::found_unreachable;
    auto const kind = is_unreachable ? report_kind::upstream_unreachable
                                     : report_kind::upstream_reachable;
    if (was_unreachable != is_unreachable)
        effects.emplace_back(report{
            kind,
            format_ipv4(upstream->registered.address),
            {},
            this->evidence_of(now, *upstream)});
    if (is_unreachable)
        this->reset_flows_of(
            now, *upstream, flow_rule::found_unreachable, effects);
}

std::vector<report_fact>
tag_router::evidence_of(time_point now, tagged_upstream const& upstream) const
{
    auto const milliseconds_since = [now](time_point earlier)
    {
        return std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(now - earlier)
                .count());
    };
    std::vector<report_fact> facts{
        {"instance", name_of_start(upstream.registered)},
        {"failure_domain", upstream.registered.failure_domain},
        {"flows", std::to_string(upstream.flows)}};
    if (upstream.reach.answered_at() != time_point())
        facts.push_back(
            {"answered_ms_ago",
             milliseconds_since(upstream.reach.answered_at())});
    if (auto const since = upstream.reach.silent_since())
        facts.push_back({"silent_ms", milliseconds_since(*since)});
    return facts;
}

void tag_router::reset_flows_of_replaced(time_point now, effect_list& effects)
{
    for (upstream_tag const tag : std::exchange(this->replaced_upstreams, {}))
    {
        tagged_upstream const* const replaced = this->upstream_table.find(tag);
        if (replaced == nullptr ||
            !this->upstream_table.is_address_taken_over(*replaced))
            continue;
        this->reset_flows_of(
            now, *replaced, flow_rule::address_taken_over, effects);
    }
}

void tag_router::reset_flow_of_packet(
    packet_arrived const& packet,
    tagged_upstream const& upstream,
    effect_list& effects)
{
    this->remove_flow(packet.flow);
    if (packet.phase == packet_phase::reset)
        return;
    effects.emplace_back(reset_known_flow{
        packet.source, packet.destination, packet.progress.acknowledged});
    effects.emplace_back(this->make_decision(
        flow_step::reset, flow_rule::address_taken_over, packet.flow,
        {packet.source, packet.destination}, &upstream));
}

void tag_router::reset_flows_of(
    time_point now,
    tagged_upstream const& upstream,
    flow_rule rule,
    effect_list& effects)
{
    // Without a reset, a caller that sends its next request on such a flow
    // waits for its own timeout, and may not repeat a request that must not be
    // processed twice. A caller whose idle flow is reset opens another one.
    for (tagged_flow const& flow : this->flows.take_established(upstream.tag))
    {
        this->decrement_flow_count(flow);
        if (!flow.progress)
            continue;
        effects.emplace_back(reset_known_flow{
            flow.caller, flow.destination, flow.progress->acknowledged});
        flow_decision decision = this->make_decision(
            flow_step::reset, rule, flow.id, {flow.caller, flow.destination},
            &upstream);
        if (auto const since = upstream.reach.silent_since())
            decision.waited = now - *since;
        decision.opened_at = opening_time(flow);
        effects.emplace_back(decision);
    }
}

void tag_router::suspect_upstreams_of(failure_domain_id domain)
{
    for (tagged_upstream const& upstream : this->upstream_table.all())
    {
        // A check is needed only to reset flows; new flows avoid an unreachable
        // domain without it.
        if (upstream.domain == domain && !upstream.missing_since &&
            upstream.flows > 0)
            this->suspects.push_back(upstream.tag);
    }
}

void tag_router::report_reachability_changes(effect_list& effects)
{
    for (domain_reachability::reachability_change const& changed :
         this->domains.take_changes())
    {
        auto const kind = changed.is_unreachable
                              ? report_kind::domain_unreachable
                              : report_kind::domain_reachable;
        effects.emplace_back(
            report{kind, this->upstream_table.name_of(changed.domain), {}});
        if (changed.is_unreachable)
            this->suspect_upstreams_of(changed.domain);
    }
}

void tag_router::check_now(
    time_point now, packet_arrived const& packet, tagged_upstream& upstream)
{
    if (!packet.progress.has_data || !upstream.reach.is_unreachable(now))
        return;
    upstream.reach.check_now(now);
    this->suspects.push_back(upstream.tag);
}

void tag_router::record_progress(
    time_point now,
    packet_arrived const& packet,
    tagged_flow& flow,
    tagged_upstream& upstream,
    effect_list& effects)
{
    flow_progress const& reported = packet.progress;
    if (!flow.progress)
    {
        flow.progress = reported;
        flow.last_new_data_at = now;
        flow.awaits_answer = reported.has_data;
        return;
    }
    flow_progress& progress = *flow.progress;
    // Only an answer to a packet that passed this VM shows that the upstream is
    // reachable from here. An upstream beyond a network partition still reaches
    // callers, and closes idle flows on its own. And a caller acknowledges a
    // short answer only with its next request or its FIN, which may come
    // seconds later. Counting either as a fresh answer would hide that a
    // failure domain is partitioned.
    bool const is_late =
        reported.has_data || packet.phase == packet_phase::closing;
    time_point const answered_at = is_late ? flow.last_packet_at : now;
    bool const is_answered = reported.acknowledged != progress.acknowledged &&
                             flow.state != tagged_flow_state::closing;
    if (is_answered)
        this->record_answer(answered_at, upstream);
    // An acknowledgement that comes with the next request, or with the FIN, may
    // be seconds late, so it says nothing about the answer's delay.
    if (is_answered && !is_late && flow.awaits_answer)
        this->record_answer_delay(now, packet.destination, flow, upstream);
    flow.awaits_answer &= !is_answered;
    // Sequence numbers wrap around, so the sign of their difference gives their
    // order.
    auto const ahead =
        static_cast<std::int32_t>(reported.sequence - progress.sequence);
    // Packets of one request may be reordered; a caller retransmits only after
    // a while.
    bool const is_retransmission =
        reported.has_data && progress.has_data && ahead <= 0 &&
        now >= flow.last_new_data_at + reordering_window;
    if (is_retransmission)
        this->record_retransmission(now, packet, flow, upstream, effects);
    progress.acknowledged = reported.acknowledged;
    if (!reported.has_data)
        return;
    if (ahead <= 0 && progress.has_data)
        return;
    progress.sequence = reported.sequence;
    progress.has_data = true;
    flow.last_new_data_at = now;
    flow.awaits_answer = true;
}

void tag_router::record_retransmission(
    time_point now,
    packet_arrived const& packet,
    tagged_flow const& flow,
    tagged_upstream& upstream,
    effect_list& effects)
{
    flow_decision decision = this->make_decision(
        flow_step::repeated, flow_rule::data_unanswered, packet.flow,
        {packet.source, packet.destination}, &upstream);
    decision.waited = now - flow.last_packet_at;
    decision.opened_at = opening_time(flow);
    effects.emplace_back(decision);
    this->suspect(now, upstream);
}

void tag_router::record_answer_delay(
    time_point now,
    endpoint const& destination,
    tagged_flow const& flow,
    tagged_upstream const& upstream)
{
    auto const route = this->route_by_address.find(destination);
    if (route == this->route_by_address.end())
        return;
    this->delay_controls[upstream.registered.pool].record_answer(
        now, now - flow.last_new_data_at, route->second->target_latency);
}

void tag_router::record_answer(time_point at, tagged_upstream& upstream)
{
    tagged_upstreams::record_answered(at, upstream);
    this->domains.record_answered(at, upstream.domain);
}

void tag_router::record_unanswered(
    time_point now, tagged_upstream& upstream, effect_list& effects)
{
    this->avoid(now, upstream, effects);
    this->suspect(now, upstream);
}

void tag_router::avoid(
    time_point now, tagged_upstream& upstream, effect_list& effects)
{
    bool const was_avoided = now < upstream.avoided_until;
    this->upstream_table.record_unanswered(now, upstream);
    if (was_avoided)
        return;
    auto facts = this->evidence_of(now, upstream);
    facts.push_back({"unanswered", std::to_string(upstream.failures)});
    auto const length = std::chrono::duration_cast<std::chrono::milliseconds>(
        upstream.avoided_until - now);
    facts.push_back({"avoided_ms", std::to_string(length.count())});
    effects.emplace_back(report{
        report_kind::upstream_avoided,
        format_ipv4(upstream.registered.address),
        {},
        std::move(facts)});
}

void tag_router::suspect(time_point now, tagged_upstream& upstream)
{
    upstream.reach.record_silence(now);
    this->suspects.push_back(upstream.tag);
    if (this->domains.may_be_unreachable(now, upstream.domain))
        this->domains.record_silence(
            now, upstream.domain,
            this->upstream_table.count_silent(upstream.domain));
}

void tag_router::record_domain_message(time_point now, failure_domain_id domain)
{
    this->domains.record_message(now, domain);
}

std::vector<failure_domain_id> tag_router::take_domains_to_probe()
{
    return this->domains.take_probe_requests();
}

} // namespace cairnhead
