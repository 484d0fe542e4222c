#include <rating/outlier_detector.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace cairnhead
{

namespace
{

using std::chrono_literals::operator""s;

/// Evidence against an upstream: requests of about this time. The requests of
/// one flow cannot make an outlier of it, as `request_timer` passes on a
/// flow's short answers no more often than each `short_answer_gap`, and their
/// sum then stays below `minimum_answers`.
constexpr duration evidence_window = 2s;

/// A VM may see one request of a small pool in a second.
constexpr duration pool_window = 8s;

/// Answers added to those of the pool, half of them short: where own flows saw
/// few answers the pool counts as failing, and only a share that is larger in
/// proportion ejects an upstream.
constexpr double prior_answers = 1;
constexpr double prior_short_answers = .5;

/// One VM's answers are a sample, so the pool's share is taken this many
/// standard deviations higher. Twice as many delay ejections by half a second.
constexpr double deviations = .5;

/// Five, less the weight that five observations lose within half a second.
constexpr double minimum_answers = 4.5;

constexpr double minimum_short_share = .3;

/// The pool's share has to be smaller than the upstream's by this factor.
constexpr double least_ratio = 3;

constexpr duration first_ejection = 2s;
constexpr duration longest_ejection = 16s;

/// An upstream that stays good for so long after an ejection starts anew.
constexpr duration forgiveness = 30s;

constexpr std::uint32_t trials_needed = 3;

/// A trial that takes longer does not hold up the next one.
constexpr duration trial_timeout = 1s;

/// After so long in trial an upstream is restored: its pool may have no
/// repeatable route, or this VM no opening for it.
constexpr duration longest_trial = 4s;

/// Below this weight nothing is left of an upstream's observations.
constexpr double idle_weight = .01;

} // namespace

outlier_detector::answer_count::answer_count(duration window)
    : answers(window), short_answers(window)
{
}

void outlier_detector::answer_count::add(time_point now, bool is_short)
{
    this->answers.add(now, 1);
    if (is_short)
        this->short_answers.add(now, 1);
}

outlier_detector::own_answers::own_answers()
    : recent(evidence_window), long_term(pool_window)
{
}

void outlier_detector::own_answers::add(time_point now, bool is_short)
{
    this->recent.add(now, is_short);
    this->long_term.add(now, is_short);
}

outlier_detector::collected_upstream::collected_upstream()
    : count(evidence_window), next_length(first_ejection)
{
}

void outlier_detector::add_collected(
    time_point now, request_observation const& seen)
{
    collected_upstream& state = this->collected[seen.upstream];
    if (state.is_ejected)
        return;
    state.count.add(now, seen.outcome == request_outcome::short_answer);
    if (this->is_outlier(now, seen.upstream, state))
        this->eject(now, seen.upstream, state);
}

void outlier_detector::add_own(time_point now, request_observation const& seen)
{
    bool const is_short = seen.outcome == request_outcome::short_answer;
    this->own_total.add(now, is_short);
    this->own[seen.upstream].add(now, is_short);
    auto const found = this->collected.find(seen.upstream);
    if (found == this->collected.end())
        return;
    collected_upstream& state = found->second;
    if (!state.is_ejected || now < state.trial_from)
        return;
    // While the other upstreams refuse requests, too, a refused trial tells
    // nothing.
    bool const is_refusal =
        is_short && this->are_others_failing(now, seen.upstream);
    if (seen.outcome != request_outcome::answered && !is_refusal)
        return this->eject(now, seen.upstream, state);
    state.next_trial_at = now;
    if (!is_refusal && ++state.good_trials >= trials_needed)
        this->restore(now, seen.upstream, state);
}

outlier_detector::pool_answers
outlier_detector::answers_of_others(time_point now, upstream_tag upstream) const
{
    auto const found = this->own.find(upstream);
    own_answers const judged =
        found == this->own.end() ? own_answers() : found->second;
    auto const rest = [now](answer_count const& all, answer_count const& part)
    {
        return answer_sums{
            std::max(all.answers.at(now) - part.answers.at(now), 0.0),
            std::max(
                all.short_answers.at(now) - part.short_answers.at(now), 0.0)};
    };
    return {
        rest(this->own_total.recent, judged.recent),
        rest(this->own_total.long_term, judged.long_term)};
}

bool outlier_detector::are_others_failing(
    time_point now, upstream_tag upstream) const
{
    auto const [recent, long_term] = this->answers_of_others(now, upstream);
    answer_sums const& seen =
        recent.answers < minimum_answers ? long_term : recent;
    return seen.short_answers > 0 && seen.short_answers * least_ratio >=
                                         seen.answers * minimum_short_share;
}

double outlier_detector::highest_share_of_others(
    time_point now, upstream_tag upstream) const
{
    auto const highest = [](answer_sums const& seen)
    {
        double const answers = seen.answers + prior_answers;
        double const mean =
            (seen.short_answers + prior_short_answers) / answers;
        return mean + deviations * std::sqrt(mean * (1 - mean) / answers);
    };
    auto const [recent, long_term] = this->answers_of_others(now, upstream);
    if (recent.answers < minimum_answers)
        return highest(long_term);
    // When an overload begins, upstreams refuse requests that they answered
    // until now. The long window alone shows that so late that a quarter of
    // healthy upstreams was ejected.
    return std::max(highest(long_term), highest(recent));
}

bool outlier_detector::is_outlier(
    time_point now,
    upstream_tag upstream,
    collected_upstream const& state) const
{
    double const answers = state.count.answers.at(now);
    double const share = state.count.short_answers.at(now) / answers;
    if (answers < minimum_answers || share < minimum_short_share)
        return false;
    return this->highest_share_of_others(now, upstream) * least_ratio < share;
}

void outlier_detector::eject(
    time_point now, upstream_tag upstream, collected_upstream& state)
{
    if (!state.is_ejected && now >= state.forgiven_at)
        state.next_length = first_ejection;
    state.is_ejected = true;
    state.trial_from = now + state.next_length;
    state.trial_until = state.trial_from + longest_trial;
    state.next_trial_at = state.trial_from;
    state.good_trials = 0;
    state.next_length = std::min(2 * state.next_length, longest_ejection);
    this->changes.push_back({upstream, true, state.trial_from});
}

void outlier_detector::restore(
    time_point now, upstream_tag upstream, collected_upstream& state)
{
    state.is_ejected = false;
    state.forgiven_at = now + forgiveness;
    state.count = answer_count(evidence_window);
    this->changes.push_back({upstream, false, now});
}

void outlier_detector::advance(time_point now)
{
    std::vector<upstream_tag> overdue;
    for (auto const& [upstream, state] : this->collected)
    {
        if (state.is_ejected && now >= state.trial_until)
            overdue.push_back(upstream);
    }
    // The order of the hash table differs between processes.
    std::ranges::sort(overdue);
    for (upstream_tag const upstream : overdue)
        this->restore(now, upstream, this->collected.at(upstream));
    absl::erase_if(
        this->collected,
        [now](auto const& entry)
        {
            collected_upstream const& state = entry.second;
            return !state.is_ejected && now >= state.forgiven_at &&
                   state.count.answers.at(now) < idle_weight;
        });
    absl::erase_if(
        this->own,
        [now](auto const& entry)
        {
            return entry.second.long_term.answers.at(now) < idle_weight;
        });
}

bool outlier_detector::is_ejected(upstream_tag upstream) const
{
    auto const found = this->collected.find(upstream);
    return found != this->collected.end() && found->second.is_ejected;
}

std::optional<upstream_tag> outlier_detector::find_trial(time_point now) const
{
    std::optional<std::pair<time_point, upstream_tag>> first;
    for (auto const& [upstream, state] : this->collected)
    {
        if (!state.is_ejected || now < state.next_trial_at)
            continue;
        std::pair const candidate{state.next_trial_at, upstream};
        if (!first || candidate < *first)
            first = candidate;
    }
    if (!first)
        return std::nullopt;
    return first->second;
}

void outlier_detector::record_trial(time_point now, upstream_tag upstream)
{
    auto const found = this->collected.find(upstream);
    if (found != this->collected.end())
        found->second.next_trial_at = now + trial_timeout;
}

void outlier_detector::remove(upstream_tag upstream)
{
    this->collected.erase(upstream);
    this->own.erase(upstream);
}

std::vector<ejection_change> outlier_detector::take_changes()
{
    return std::exchange(this->changes, {});
}

std::size_t outlier_detector::ejected_count() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->collected,
        [](auto const& entry)
        {
            return entry.second.is_ejected;
        }));
}

} // namespace cairnhead
