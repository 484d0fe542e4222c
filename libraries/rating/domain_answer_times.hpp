#pragma once

#include <base/identifiers.hpp>
#include <base/time.hpp>
#include <rating/decayed_sum.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cairnhead
{

/// How long the answers of a pool's upstreams in one failure domain took
/// recently.
struct domain_answer_time
{
    /// Mean answer time relative to the usual one of the same route; 1 usual.
    double relative = 1;
    /// Mean of how much longer than usual of the same route the answers took;
    /// negative if they were quicker.
    duration excess{};
    /// The quickest answer of the last ten to twenty seconds. Between failure
    /// domains the difference is about the round trip.
    duration quickest{};
    /// When the latest answer came.
    time_point latest_at;
    /// Answers within the window, with their weight by age: how certain the
    /// means are. Falls below 1 when no answer came for a while; the means
    /// remain.
    double weight = 0;
};

/// Answer times by pool and failure domain, over a window of 200 ms: short
/// enough to follow a burst, long enough to smooth single requests. Only
/// answers whose time and whose route's usual time are known count, and
/// requests that are still unanswered, with the time that they have waited.
/// No method has a precondition unless its comment states one; none is
/// thread-safe: only the reducer's thread calls them.
class domain_answer_times
{
public:
    /// Records a request that took `elapsed` on a route on which `usual` is
    /// usual. Does nothing if `usual` is not positive. `now` may not decrease
    /// from call to call.
    void record(
        time_point now,
        std::string_view pool,
        failure_domain_id domain,
        duration elapsed,
        duration usual);

    /// Nothing if no answer came for thirty seconds.
    [[nodiscard]] std::optional<domain_answer_time>
    find(time_point now, std::string_view pool, failure_domain_id domain) const;

    /// Forgets pools and domains from which no answer came for thirty seconds.
    void expire(time_point now);

private:
    struct answer_times
    {
        answer_times();

        decayed_sum weight;
        decayed_sum relative;
        decayed_sum excess_seconds;
        /// The means when the sums were last added to: the sums vanish with
        /// time.
        double latest_relative = 1;
        duration latest_excess{};
        /// The quickest answers of the current and the previous ten seconds.
        duration quickest = duration::max();
        duration quickest_before = duration::max();
        time_point period_ends_at;
        time_point latest_at;
    };

    using pool_domains = std::map<failure_domain_id, answer_times>;

    std::map<std::string, pool_domains, std::less<>> pools;
};

} // namespace cairnhead
