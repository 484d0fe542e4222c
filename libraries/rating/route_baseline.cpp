#include <rating/route_baseline.hpp>

#include <algorithm>
#include <limits>

namespace cairnhead
{

namespace
{

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

/// Answers whose times are needed before one is usual.
constexpr std::size_t minimum_times = 8;

/// Answers that are needed before one can be short.
constexpr std::size_t minimum_lengths = 20;

/// A short answer has less than this share of the length at this quantile.
constexpr double short_share = .6;
constexpr double length_quantile = .2;

/// Where a sample is due and the answer is short, one in so many is taken: a
/// pool that refuses most requests must not make refusals usual, but a route
/// whose answers have become shorter for good must not be rated by the old ones
/// forever.
constexpr std::uint32_t short_answers_per_sample = 16;

/// So many samples are taken at once.
constexpr std::size_t initial_samples = 32;

/// The least gap between later ones: 64 of them span 16 s, more than one swing
/// of demand in the deployments (13 s).
constexpr duration sample_gap = 250ms;

/// Memory of requests per flow; flows last up to a minute.
constexpr duration flow_window = 60s;

/// Memory of the share of answers whose time is known.
constexpr duration evidence_window = 30s;

/// Silence tells something where at least this share of answers is
/// acknowledged at once.
constexpr double least_timed_share = .9;

/// A request is unanswered after so many usual answer times, at least after
/// the second.
constexpr int unanswered_factor = 4;
constexpr duration shortest_unanswered = 20ms;

/// From this mean on, a FIN that follows a flow's only request may come long
/// after the answer: flows of the route stay open.
constexpr double long_flow_requests = 2;

constexpr double permille = 1000;

std::uint32_t to_microseconds(duration time)
{
    constexpr std::int64_t most = std::numeric_limits<std::uint32_t>::max();
    auto const count =
        std::chrono::duration_cast<std::chrono::microseconds>(time).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 1, most));
}

/// At least 1, as zero stands for an unknown time.
std::uint32_t to_milliseconds(duration time)
{
    constexpr std::int64_t most = std::numeric_limits<std::uint32_t>::max();
    auto const count =
        std::chrono::round<std::chrono::milliseconds>(time).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 1, most));
}

/// At least 1, as zero stands for an unknown time.
std::uint16_t to_relative(duration time, duration usual)
{
    constexpr double most = std::numeric_limits<std::uint16_t>::max();
    if (usual <= duration::zero())
        return 0;
    double const ratio = std::chrono::duration<double>(time) / usual;
    return static_cast<std::uint16_t>(std::clamp(ratio * permille, 1.0, most));
}

} // namespace

route_baseline::route_baseline()
    : flows(flow_window), requests(flow_window), answers(evidence_window),
      timed_answers(evidence_window)
{
}

void route_baseline::record_request(time_point now, request_position position)
{
    this->requests.add(now, 1);
    if (position == request_position::first_of_flow)
        this->flows.add(now, 1);
}

request_observation route_baseline::record_answer(
    time_point now, upstream_tag upstream, ended_request const& ended)
{
    bool const is_timed = this->is_time_known(now, ended);
    bool const is_short = ended.answer_length < this->short_below();
    request_observation seen{
        .upstream = upstream,
        .outcome = is_short ? request_outcome::short_answer
                            : request_outcome::answered};
    if (is_timed)
    {
        seen.relative_permille = to_relative(ended.elapsed, this->usual);
        seen.answer_milliseconds = to_milliseconds(ended.elapsed);
    }
    // An error is often answered at once by a flow that is closed then, so
    // short answers tell nothing about when longer ones are acknowledged.
    if (!is_short)
    {
        this->answers.add(now, 1);
        this->timed_answers.add(now, is_timed ? 1 : 0);
    }
    this->tells_silence = this->timed_answers.at(now) >=
                          least_timed_share * this->answers.at(now);
    if (!this->should_sample(now, is_short))
        return seen;
    this->lengths.add(ended.answer_length);
    if (is_timed && !is_short)
        this->times.add(to_microseconds(ended.elapsed));
    this->update_usual();
    return seen;
}

bool route_baseline::is_time_known(
    time_point now, ended_request const& ended) const
{
    switch (ended.evidence)
    {
    case answer_evidence::acknowledgement:
        return true;
    case answer_evidence::only_request_closed:
        return this->requests_per_flow(now) < long_flow_requests;
    case answer_evidence::later_packet:
        return false;
    }
    return false;
}

bool route_baseline::should_sample(time_point now, bool is_short)
{
    bool const is_due =
        now >= this->next_sample_at || this->lengths.size() < initial_samples;
    if (!is_due)
        return false;
    this->next_sample_at = now + sample_gap;
    return !is_short || ++this->short_answers % short_answers_per_sample == 0;
}

void route_baseline::update_usual()
{
    if (this->times.size() >= minimum_times)
        this->usual = std::chrono::microseconds(*this->times.quantile(.5));
    if (this->lengths.size() >= minimum_lengths)
        this->usual_length = *this->lengths.quantile(length_quantile);
}

request_observation
route_baseline::observe_unanswered(upstream_tag upstream, duration waited) const
{
    return {
        .upstream = upstream,
        .outcome = request_outcome::unanswered,
        .relative_permille = to_relative(waited, this->usual),
        .answer_milliseconds = to_milliseconds(waited)};
}

std::optional<duration> route_baseline::usual_time() const
{
    if (this->usual == duration::zero())
        return std::nullopt;
    return this->usual;
}

double route_baseline::requests_per_flow(time_point now) const
{
    double const seen = this->flows.at(now);
    // Flows that other VMs opened bring requests, too.
    if (seen == 0)
        return std::max(1.0, this->requests.at(now));
    return std::max(1.0, this->requests.at(now) / seen);
}

std::optional<duration> route_baseline::unanswered_after() const
{
    if (this->usual == duration::zero() || !this->tells_silence)
        return std::nullopt;
    return std::max(unanswered_factor * this->usual, shortest_unanswered);
}

std::uint32_t route_baseline::short_below() const
{
    return static_cast<std::uint32_t>(short_share * this->usual_length);
}

} // namespace cairnhead
