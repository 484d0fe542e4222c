#pragma once

#include <rating/decayed_sum.hpp>
#include <rating/request_observation.hpp>

#include <absl/container/flat_hash_map.h>
#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace cairnhead
{

/// An upstream that was ejected or restored.
struct ejection_change
{
    upstream_tag upstream;
    bool is_ejected = false;
    /// When an ejection ends and trials begin.
    time_point until;

    bool operator==(ejection_change const&) const = default;
};

/// Decides which upstreams of one pool get no new flows because they answer
/// errors: those that this VM collects observations of.
///
/// An upstream is ejected when a large share of its answers is short while
/// that of the pool's other upstreams is not. After the ejection it remains
/// excluded for all VMs but this one, which sends it single openings as
/// trials: the first short answer ejects it again, for twice as long, and
/// after a few good ones it is restored. Where no trial takes place, as in a
/// pool without repeatable routes, it is restored after a while.
/// How many upstreams are treated as ejected at once is bounded where ratings
/// are used, see `ejection_bound.hpp`, as no collector sees the whole pool.
/// No method has a precondition unless its comment states one; none is
/// thread-safe: only the reducer's thread calls them. `now` may not decrease
/// from call to call.
class outlier_detector
{
public:
    /// Adds what a VM, this one included, saw of an upstream that this VM
    /// collects for. May eject the upstream.
    void add_collected(time_point now, request_observation const& seen);

    /// Adds what this VM's own flows saw of any upstream of the pool: the
    /// share of short answers that is usual in the pool, and results of
    /// trials.
    void add_own(time_point now, request_observation const& seen);

    /// Ends trials that have lasted too long, and forgets old evidence. Called
    /// about once a second.
    void advance(time_point now);

    /// Whether the upstream is to be rated as ejected, which includes the time
    /// of its trials.
    [[nodiscard]] bool is_ejected(upstream_tag upstream) const;

    /// An upstream whose ejection is over and that may get an opening of a
    /// repeatable route from this VM now; the one that waits longest.
    [[nodiscard]] std::optional<upstream_tag> find_trial(time_point now) const;

    /// Records that this VM sent the upstream such an opening. `find_trial`
    /// does not name the upstream again before an answer was seen or a second
    /// has passed.
    void record_trial(time_point now, upstream_tag upstream);

    /// Forgets an upstream that restarted, left, or that another VM collects
    /// for now. That is no change for `take_changes`.
    void remove(upstream_tag upstream);

    /// The upstreams ejected and restored since the last call, in order.
    [[nodiscard]] std::vector<ejection_change> take_changes();

    /// How many upstreams are ejected, those in trial included.
    [[nodiscard]] std::size_t ejected_count() const;

private:
    struct answer_count
    {
        explicit answer_count(duration window);
        void add(time_point now, bool is_short);

        decayed_sum answers;
        decayed_sum short_answers;
    };

    /// Answers of own flows. The recent ones show that an overload begins; the
    /// others steady the share.
    struct own_answers
    {
        own_answers();
        void add(time_point now, bool is_short);

        answer_count recent;
        answer_count long_term;
    };

    struct collected_upstream
    {
        collected_upstream();

        /// Since the last ejection.
        answer_count count;
        bool is_ejected = false;
        /// When trials begin, and when the upstream is restored without one.
        time_point trial_from;
        time_point trial_until;
        time_point next_trial_at;
        std::uint32_t good_trials = 0;
        /// How long the next ejection lasts; `forgiven_at` resets it.
        duration next_length;
        time_point forgiven_at;
    };

    struct answer_sums
    {
        double answers = 0;
        double short_answers = 0;
    };

    struct pool_answers
    {
        answer_sums recent;
        answer_sums long_term;
    };

    /// What own flows saw of the pool's other upstreams: in a pool of few
    /// upstreams the outlier's own answers would hide it.
    [[nodiscard]] pool_answers
    answers_of_others(time_point now, upstream_tag upstream) const;
    /// The share of short answers of the pool's other upstreams, as high as it
    /// may well be.
    [[nodiscard]] double
    highest_share_of_others(time_point now, upstream_tag upstream) const;
    /// Whether so many of their answers were seen to be short that an upstream
    /// with the minimum share is no outlier.
    [[nodiscard]] bool
    are_others_failing(time_point now, upstream_tag upstream) const;
    [[nodiscard]] bool is_outlier(
        time_point now,
        upstream_tag upstream,
        collected_upstream const& state) const;
    void
    eject(time_point now, upstream_tag upstream, collected_upstream& state);
    void
    restore(time_point now, upstream_tag upstream, collected_upstream& state);

    absl::flat_hash_map<upstream_tag, collected_upstream> collected;
    /// By upstream, from own flows.
    absl::flat_hash_map<upstream_tag, own_answers> own;
    own_answers own_total;
    std::vector<ejection_change> changes;
};

} // namespace cairnhead
