#include <tagging/tag_router.hpp>

#include <base/ipv4.hpp>

#include <algorithm>
#include <optional>
#include <utility>

/// Who can be reached: what callers' packets tell of upstreams, and what
/// follows when one is out of reach.
namespace cairnhead
{

namespace
{

using std::chrono_literals::operator""ms;

/// Data that comes again sooner than this got ahead of other data. Callers
/// repeat it after 200 ms.
constexpr duration reordering = 100ms;

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
    bool const is_doubted = suspect.reach.is_doubted() ||
                            this->domains.is_unreachable(suspect.domain);
    return is_doubted && suspect.reach.is_check_due(now, this->settings);
}

void tag_router::check_silent(time_point now, effect_list& effects)
{
    for (upstream_tag const tag : this->suspects)
    {
        tagged_upstream* const suspect = this->known.find(tag);
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
        this->known.choose_witnesses(suspect.tag),
        at.life});
}

void tag_router::suspect_unreachable(time_point now)
{
    for (tagged_upstream const& one : this->known.all())
    {
        if (one.reach.is_unreachable(now) && !one.missing_since)
            this->suspects.push_back(one.tag);
    }
}

void tag_router::receive(
    time_point now, upstream_checked const& result, effect_list& effects)
{
    tagged_upstream* const upstream = this->known.find(result.upstream);
    // The check of an earlier start says nothing of the one that runs now.
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
        this->end_flows_of(
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

void tag_router::end_succeeded(time_point now, effect_list& effects)
{
    for (upstream_tag const tag : std::exchange(this->succeeded, {}))
    {
        tagged_upstream const* const ended = this->known.find(tag);
        if (ended == nullptr || !this->known.is_succeeded(*ended))
            continue;
        this->end_flows_of(now, *ended, flow_rule::address_taken_over, effects);
    }
}

void tag_router::end_flow_of_packet(
    packet_arrived const& packet,
    tagged_upstream const& upstream,
    effect_list& effects)
{
    this->forget(packet.flow);
    effects.emplace_back(
        drop_packet{packet.token, drop_reason::upstream_unreachable});
    if (packet.phase == packet_phase::reset)
        return;
    effects.emplace_back(reset_known_flow{
        packet.source, packet.destination, packet.progress.acknowledged});
    effects.emplace_back(this->decide(
        flow_step::reset, flow_rule::address_taken_over, packet.flow,
        {packet.source, packet.destination}, &upstream));
}

void tag_router::end_flows_of(
    time_point now,
    tagged_upstream const& upstream,
    flow_rule why,
    effect_list& effects)
{
    // A caller that sends its next request on such a flow waits until its own
    // time is over, and may not repeat what must not run twice. One whose idle
    // flow ends opens another.
    for (tagged_flow const& flow : this->flows.take_established(upstream.tag))
    {
        this->uncount(flow);
        if (!flow.progress)
            continue;
        effects.emplace_back(reset_known_flow{
            flow.caller, flow.destination, flow.progress->acknowledged});
        flow_decision ended = this->decide(
            flow_step::reset, why, flow.id, {flow.caller, flow.destination},
            &upstream);
        if (auto const since = upstream.reach.silent_since())
            ended.waited = now - *since;
        ended.opened_at = opening_time(flow);
        effects.emplace_back(ended);
    }
}

void tag_router::suspect_all(failure_domain_id domain)
{
    for (tagged_upstream const& one : this->known.all())
    {
        // A check serves to end flows; new ones go elsewhere without it.
        if (one.domain == domain && !one.missing_since && one.flows > 0)
            this->suspects.push_back(one.tag);
    }
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

void tag_router::note_use(
    time_point now, packet_arrived const& packet, tagged_upstream& upstream)
{
    if (!packet.progress.has_data || !upstream.reach.is_unreachable(now))
        return;
    upstream.reach.hasten_check(now);
    this->suspects.push_back(upstream.tag);
}

void tag_router::note_progress(
    time_point now,
    packet_arrived const& packet,
    tagged_flow& flow,
    tagged_upstream& upstream,
    effect_list& effects)
{
    flow_progress const& told = packet.progress;
    if (!flow.progress)
    {
        flow.progress = told;
        flow.data_at = now;
        flow.awaits_answer = told.has_data;
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
    // One that comes with the next request, or with the end, may be seconds
    // old, and says nothing of the wait.
    if (is_answered && !is_late && flow.awaits_answer)
        this->note_wait(now, packet.destination, flow, upstream);
    flow.awaits_answer &= !is_answered;
    // Numbers wrap around, so their difference tells which comes first.
    auto const ahead =
        static_cast<std::int32_t>(told.sequence - known_progress.sequence);
    // Packets of one request may overtake each other; a caller repeats itself
    // only after a while.
    bool const is_repeated = told.has_data && known_progress.has_data &&
                             ahead <= 0 && now >= flow.data_at + reordering;
    if (is_repeated)
        this->note_repetition(now, packet, flow, upstream, effects);
    known_progress.acknowledged = told.acknowledged;
    if (!told.has_data)
        return;
    if (ahead <= 0 && known_progress.has_data)
        return;
    known_progress.sequence = told.sequence;
    known_progress.has_data = true;
    flow.data_at = now;
    flow.awaits_answer = true;
}

void tag_router::note_repetition(
    time_point now,
    packet_arrived const& packet,
    tagged_flow const& flow,
    tagged_upstream& upstream,
    effect_list& effects)
{
    flow_decision repeated = this->decide(
        flow_step::repeated, flow_rule::data_unanswered, packet.flow,
        {packet.source, packet.destination}, &upstream);
    repeated.waited = now - flow.seen_at;
    repeated.opened_at = opening_time(flow);
    effects.emplace_back(repeated);
    this->suspect(now, upstream);
}

void tag_router::note_wait(
    time_point now,
    endpoint const& destination,
    tagged_flow const& flow,
    tagged_upstream const& upstream)
{
    auto const route = this->route_by_address.find(destination);
    if (route == this->route_by_address.end())
        return;
    this->delays[upstream.registered.pool].note_answer(
        now, now - flow.data_at, route->second->target_latency);
}

void tag_router::note_answered(time_point at, tagged_upstream& upstream)
{
    tagged_upstreams::note_answered(at, upstream);
    this->domains.note_answered(at, upstream.domain);
}

void tag_router::note_unanswered(
    time_point now, tagged_upstream& upstream, effect_list& effects)
{
    this->avoid(now, upstream, effects);
    this->suspect(now, upstream);
}

void tag_router::avoid(
    time_point now, tagged_upstream& upstream, effect_list& effects)
{
    bool const was_avoided = now < upstream.avoided_until;
    this->known.note_unanswered(now, upstream);
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
    upstream.reach.note_silent(now);
    this->suspects.push_back(upstream.tag);
    if (this->domains.may_be_unreachable(now, upstream.domain))
        this->domains.note_silent(
            now, upstream.domain, this->known.count_silent(upstream.domain));
}

void tag_router::note_heard(time_point now, failure_domain_id domain)
{
    this->domains.note_heard(now, domain);
}

std::vector<failure_domain_id> tag_router::take_questions()
{
    return this->domains.take_questions();
}

} // namespace cairnhead
