#pragma once

#include <rating/decayed_sum.hpp>
#include <rating/request_observation.hpp>
#include <rating/upstream_rating.hpp>

namespace cairnhead
{

/// How long a rating is in force after it was made.
inline constexpr duration rating_lifetime = std::chrono::seconds(3);

/// Rates one upstream by the observations of many VMs.
///
/// The relative answer time is the geometric mean of the observed ones: a
/// request whose packet was lost takes over ten times as long as usual, and
/// would dominate an arithmetic mean of a dozen. Short answers do not count
/// for it, as an upstream that refuses at once is not fast. The work in hand
/// follows from Little's law: rate of requests times mean answer time.
/// No method has a precondition unless its comment states one; none is
/// thread-safe: only the reducer's thread calls them.
class upstream_statistics
{
public:
    explicit upstream_statistics(upstream_tag upstream);

    /// Adds an observation of this upstream, which has that many slots by the
    /// registry (zero counts as one). `now` may not decrease.
    void
    add(time_point now, request_observation const& seen, std::uint32_t slots);

    /// The rating as of now, which expires after `rating_lifetime`. It is a
    /// usual one while there are too few observations. Ejections are decided
    /// by `outlier_detector`: `is_ejected` is false.
    [[nodiscard]] upstream_rating rating(time_point now) const;

    /// Forgets all observations, as after a restart of the upstream.
    void clear();

    /// Whether all observations are so old that they count no more.
    [[nodiscard]] bool is_idle(time_point now) const;

private:
    upstream_tag upstream;
    std::uint32_t slots = 1;
    /// Requests; those whose answer time is known; these times in seconds.
    decayed_sum requests;
    decayed_sum timed_requests;
    decayed_sum answer_seconds;
    /// Requests whose relative time counts, and its logarithms.
    decayed_sum compared_requests;
    decayed_sum relative_logarithms;
    /// Requests and short answers, over a longer time.
    decayed_sum answers;
    decayed_sum short_answers;
};

} // namespace cairnhead
