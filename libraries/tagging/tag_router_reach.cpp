#include <tagging/tag_router.hpp>

#include <base/ipv4.hpp>

/// Who can be reached: what callers' packets tell of upstreams, and what
/// follows when one is out of reach.
namespace cairnhead
{

namespace
{

/// A verdict holds for so many periods of checks; one that is missed changes
/// nothing yet.
constexpr int verdict_periods = 3;

} // namespace

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

void tag_router::suspect_unreachable(time_point now)
{
    for (tagged_upstream const& one : this->known.all())
    {
        if (one.is_unreachable(now) && !one.missing_since)
            this->suspects.push_back(one.tag);
    }
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
    bool const was_unreachable = upstream->is_unreachable(now);
    // A verdict that held until further notice would outlive the cut that led
    // to it where no flow shows its end, and reset the next flow that comes
    // by: one that was opened through another VM, and lives.
    upstream->unreachable_until =
        is_unreachable ? now + this->settings.check_period * verdict_periods
                       : time_point{};
    if (result.outcome == connection_outcome::connected)
        upstream->silent_since.reset();
    if (was_unreachable == is_unreachable)
        return;
    auto const kind = is_unreachable ? report_kind::upstream_unreachable
                                     : report_kind::upstream_reachable;
    effects.emplace_back(
        report{kind, format_ipv4(upstream->registered.address), {}});
    if (is_unreachable)
        this->end_flows_of(*upstream, effects);
}

void tag_router::end_flows_of(
    tagged_upstream const& upstream, effect_list& effects)
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

bool tag_router::must_reset(
    time_point now,
    packet_arrived const& packet,
    tagged_upstream const& upstream) const
{
    bool const is_out_of_reach = upstream.is_unreachable(now) ||
                                 this->domains.is_unreachable(upstream.domain);
    return packet.progress.has_data && upstream.silent_since && is_out_of_reach;
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

void tag_router::note_heard(time_point now, failure_domain_id domain)
{
    this->domains.note_heard(now, domain);
}

std::vector<failure_domain_id> tag_router::take_questions()
{
    return this->domains.take_questions();
}

} // namespace cairnhead
