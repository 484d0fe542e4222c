#include <rating/upstream_statistics.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace cairnhead
{

namespace
{

using std::chrono_literals::operator""s;

/// Time constant of answer times and of work in hand.
constexpr duration time_window = 1s;

/// Time constant of the share of short answers. Upstreams of a small pool get
/// three requests a second, too few to tell a share within one second.
constexpr duration share_window = 2s;

/// Relative times are not told apart from usual below this number.
constexpr double minimum_compared = 2;

/// Observations with the usual time that are added to those seen, so that few
/// observations change the rating less.
constexpr double prior_weight = 1;

constexpr double minimum_answers = 3;

/// Below this weight nothing is left of the observations.
constexpr double idle_weight = .01;

constexpr double permille = 1000;

std::uint16_t to_permille(double share)
{
    constexpr double most = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(
        std::clamp(std::round(share * permille), 0.0, most));
}

} // namespace

upstream_statistics::upstream_statistics(upstream_tag rated)
    : upstream(rated), requests(time_window), timed_requests(time_window),
      answer_seconds(time_window), compared_requests(time_window),
      relative_logarithms(time_window), answers(share_window),
      short_answers(share_window)
{
}

void upstream_statistics::add(
    time_point now, request_observation const& seen, std::uint32_t listed_slots)
{
    bool const is_short = seen.outcome == request_outcome::short_answer;
    this->slots = std::max<std::uint32_t>(listed_slots, 1);
    this->requests.add(now, 1);
    this->answers.add(now, 1);
    if (is_short)
        this->short_answers.add(now, 1);
    if (seen.answer_milliseconds > 0)
    {
        this->timed_requests.add(now, 1);
        this->answer_seconds.add(now, seen.answer_milliseconds / 1000.0);
    }
    if (is_short || seen.relative_permille == 0)
        return;
    this->compared_requests.add(now, 1);
    this->relative_logarithms.add(
        now, std::log(seen.relative_permille / permille));
}

upstream_rating upstream_statistics::rating(time_point now) const
{
    upstream_rating made;
    made.upstream = this->upstream;
    made.expires_at = now + rating_lifetime;
    double const compared = this->compared_requests.at(now);
    if (compared >= minimum_compared)
        made.relative_permille = to_permille(std::exp(
            this->relative_logarithms.at(now) / (compared + prior_weight)));
    double const answered = this->answers.at(now);
    if (answered >= minimum_answers)
        made.short_permille =
            to_permille(this->short_answers.at(now) / answered);
    double const timed = this->timed_requests.at(now);
    if (timed < idle_weight)
        return made;
    std::chrono::duration<double> const window = time_window;
    double const per_second = this->requests.at(now) / window.count();
    double const mean_seconds = this->answer_seconds.at(now) / timed;
    made.work_permille = to_permille(per_second * mean_seconds / this->slots);
    return made;
}

void upstream_statistics::clear()
{
    *this = upstream_statistics(this->upstream);
}

bool upstream_statistics::is_idle(time_point now) const
{
    return this->answers.at(now) < idle_weight;
}

} // namespace cairnhead
