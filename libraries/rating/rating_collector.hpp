#pragma once

#include <protocol/control_message.hpp>
#include <rating/outlier_detector.hpp>
#include <rating/rated_upstream.hpp>
#include <rating/upstream_rating.hpp>
#include <rating/upstream_statistics.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/functional/function_ref.h>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cairnhead
{

/// A rating that was decided on, to be put in force here and, for upstreams of
/// the own domain, at its other VMs.
struct rating_decision
{
    upstream_rating rating;
    /// The earlier rating ends, and the upstream performs as usual.
    bool is_end = false;
    failure_domain_id domain;
};

/// How many observations one stands for, where its sender sent a part of them.
struct observation_weight
{
    /// As work of the upstream.
    double requests = 1;
    /// As evidence for or against an ejection: at most one for an observation
    /// that differs from usual, as few of them may not count as many.
    double evidence = 1;
};

/// Rates the upstreams that this VM collects observations of, and decides which
/// ratings have to be announced: those that differ from usual, when they
/// changed notably and once a second, and the return to usual once.
///
/// Where observations cease, as of an upstream that gets no new flows, the
/// rating is announced no more and expires: nothing shows that the upstream
/// has recovered. The same holds where another VM collects from now on.
/// No method has a precondition; none is thread-safe. `now` may not decrease
/// from call to call.
class rating_collector
{
public:
    /// Adds what this VM's own flows saw, also of upstreams that another VM
    /// collects for: it tells what is usual in the pool.
    void add_own(
        time_point now,
        rated_upstream const& upstream,
        request_observation const& seen);

    /// Adds what some VM saw of an upstream that this VM collects for.
    void add_collected(
        time_point now,
        rated_upstream const& upstream,
        request_observation const& seen,
        observation_weight weight = {});

    /// The ratings to be announced now. Forgets upstreams that `find` does not
    /// find, that restarted, or that were not observed lately.
    [[nodiscard]] std::vector<rating_decision>
    decide(time_point now, upstream_lookup find);

    /// Forgets the upstreams of the domain that `is_collected` does not name.
    void retain(
        failure_domain_id domain,
        absl::FunctionRef<bool(instance_number)> is_collected);

    /// The ejections that began and ended since the last call.
    [[nodiscard]] std::vector<ejection_change> take_ejection_changes();

    /// An upstream of the pool that may get one opening of a repeatable route
    /// from this VM as a trial; see `outlier_detector::find_trial`.
    [[nodiscard]] std::optional<upstream_tag>
    find_trial(time_point now, std::string_view pool) const;

    /// Records that it got the opening.
    void
    record_trial(time_point now, std::string_view pool, upstream_tag upstream);

    /// Forgets everything.
    void clear();

    /// Whether there is nothing to decide on.
    [[nodiscard]] bool is_empty() const;

private:
    struct collected_upstream
    {
        explicit collected_upstream(rated_upstream const& upstream);

        instance_number instance;
        incarnation life{};
        failure_domain_id domain;
        std::string pool;
        upstream_statistics statistics;
        decayed_sum observed;
        /// What weights leave after whole observations were added.
        observation_weight remainder{0, 0};
        /// In force at others, as far as this VM announced it.
        std::optional<upstream_rating> announced;
        time_point repeat_at;
    };

    struct pool_state
    {
        outlier_detector detector;
        time_point used_at;
    };

    using upstream_map = absl::flat_hash_map<upstream_tag, collected_upstream>;

    pool_state& pool_of(time_point now, std::string_view pool);
    [[nodiscard]] bool is_current(
        time_point now,
        collected_upstream const& state,
        std::optional<rated_upstream> const& listed) const;
    void remove(upstream_map::iterator removed);
    void advance_pools(time_point now);
    [[nodiscard]] std::optional<rating_decision>
    decide(time_point now, upstream_tag tag, collected_upstream& state) const;

    upstream_map upstreams;
    std::map<std::string, pool_state, std::less<>> pools;
    time_point advance_pools_at;
};

} // namespace cairnhead
