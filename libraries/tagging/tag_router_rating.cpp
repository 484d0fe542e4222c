#include <tagging/tag_router.hpp>

#include <algorithm>
#include <utility>

/// What this VM sees of requests, for the ratings of their upstreams.
namespace cairnhead
{

namespace
{

using std::chrono_literals::operator""ms;

/// Observations kept until they are taken, which happens every 200 ms.
constexpr std::size_t maximum_observations = 1'000;

/// Deadlines are handled at the next tick. Where that comes later, this VM
/// lacked processor time, and answers may wait in its socket.
constexpr duration latest_handling = 200ms;

} // namespace

void tag_router::time_request(
    time_point now,
    packet_arrived const& packet,
    tagged_flow& flow,
    tagged_upstream const& upstream)
{
    bool const is_timed =
        this->settings.placement == placement_rule::answer_times &&
        this->route_by_address.contains(packet.destination);
    if (!is_timed)
        return;
    route_baseline& baseline = this->baselines[packet.destination];
    auto const found =
        flow.requests.record(now, packet.progress, packet.phase, packet.waited);
    if (found.ended)
        this->observe_answer(now, flow, upstream, baseline, found);
    auto const overdue_after = baseline.unanswered_after();
    // Where silence tells nothing, repeated data does: the answer would have
    // acknowledged it.
    if (found.repeats_data && !overdue_after)
        this->observe_unanswered(now, flow, upstream, baseline);
    if (!found.has_new_data)
        return;
    if (found.begins_request)
    {
        bool const is_first = flow.requests.is_first_request();
        baseline.record_request(
            now, is_first ? route_baseline::request_position::first_of_flow
                          : route_baseline::request_position::later);
    }
    if (overdue_after)
        this->waiting_requests.add({now + *overdue_after, packet.flow, now});
}

void tag_router::observe_answer(
    time_point now,
    tagged_flow& flow,
    tagged_upstream const& upstream,
    route_baseline& baseline,
    request_timer::packet_findings const& found)
{
    ended_request ended = *found.ended;
    // A pause of this VM is no wait for the upstream.
    if (this->pauses.is_before_pause_end(found.ended_began_at))
        ended.evidence = answer_evidence::later_packet;
    auto const usual = baseline.usual_time();
    auto const seen = baseline.record_answer(now, upstream.tag, ended);
    bool const is_short = seen.outcome == request_outcome::short_answer;
    bool const is_comparable =
        usual && seen.answer_milliseconds > 0 && !is_short;
    if (is_comparable)
        this->answer_times.record(
            now, upstream.registered.pool, upstream.domain, ended.elapsed,
            *usual);
    if (is_short ? flow.requests.take_short_answer(now) : !found.was_reported)
        this->add_observation(seen);
}

void tag_router::observe_unanswered(
    time_point now,
    tagged_flow& flow,
    tagged_upstream const& upstream,
    route_baseline const& baseline)
{
    bool const may_have_answered =
        this->pauses.is_before_pause_end(flow.requests.begun_at());
    if (flow.requests.was_reported() || may_have_answered)
        return;
    flow.requests.record_reported();
    duration const waited = now - flow.requests.begun_at();
    this->add_observation(baseline.observe_unanswered(upstream.tag, waited));
    if (auto const usual = baseline.usual_time())
        this->answer_times.record(
            now, upstream.registered.pool, upstream.domain, waited, *usual);
}

void tag_router::observe_overdue_requests(time_point now)
{
    while (auto const due = this->waiting_requests.take_due(now))
    {
        tagged_flow* const flow = this->flows.find(due->flow);
        bool const is_overdue = flow != nullptr &&
                                flow->requests.is_waiting() &&
                                flow->requests.begun_at() == due->begun_at &&
                                now < due->due_at + latest_handling;
        if (!is_overdue)
            continue;
        tagged_upstream const* const upstream =
            this->upstream_table.find(flow->upstream);
        auto const baseline = this->baselines.find(flow->destination);
        if (upstream != nullptr && baseline != this->baselines.end())
            this->observe_unanswered(now, *flow, *upstream, baseline->second);
    }
}

void tag_router::add_observation(request_observation const& seen)
{
    if (this->observations.size() < maximum_observations)
        this->observations.push_back(seen);
}

std::vector<request_observation> tag_router::take_observations()
{
    return std::exchange(this->observations, {});
}

void tag_router::apply_rating(time_point now, upstream_rating const& rating)
{
    this->ratings.apply(now, rating);
    this->upstream_table.record_rating(rating.upstream);
}

std::optional<upstream_rating>
tag_router::rating_of(time_point now, upstream_tag upstream) const
{
    return this->ratings.find(now, upstream);
}

std::size_t tag_router::count_ratings(time_point now) const
{
    return this->ratings.count_in_force(now);
}

tagged_upstream const* tag_router::find_upstream(upstream_tag tag) const
{
    return this->upstream_table.find(tag);
}

void tag_router::add_ratings(
    time_point now, std::span<upstream_candidate> shown) const
{
    for (upstream_candidate& each : shown)
        each.view.rating =
            this->ratings.find(now, tag_of(each.registered.instance));
}

void tag_router::forget_performance(upstream_tag restarted)
{
    this->ratings.remove(restarted);
    std::erase_if(
        this->observations,
        [restarted](request_observation const& seen)
        {
            return seen.upstream == restarted;
        });
}

} // namespace cairnhead
