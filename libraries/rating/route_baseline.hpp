#pragma once

#include <rating/decayed_sum.hpp>
#include <rating/ended_request.hpp>
#include <rating/request_observation.hpp>
#include <rating/sample_quantiles.hpp>

#include <optional>

namespace cairnhead
{

/// What is usual on one route, as this VM sees it: answer time, answer length
/// and requests per flow. Observations are relative to it, so a VM that is slow
/// itself does not rate upstreams as slow.
///
/// The usual time is the median of recent answers, so that a fifth of slow
/// upstreams does not change it. Samples are taken no more often than four
/// times a second once there are enough: the memory then is longer than a burst
/// on routes of any rate, and an answer in a burst still counts as late.
/// No method has a precondition unless its comment states one; none is
/// thread-safe: only the reducer's thread calls them. `now` may not decrease
/// from call to call.
class route_baseline
{
public:
    route_baseline();

    /// Whether the request is the first of a flow that was opened while its
    /// packets passed this VM.
    enum class request_position : std::uint8_t
    {
        first_of_flow,
        later,
    };

    /// Records that a request began.
    void record_request(time_point now, request_position position);

    /// Records that a request was answered, and tells how its upstream did
    /// compared with what was usual before.
    request_observation record_answer(
        time_point now, upstream_tag upstream, ended_request const& ended);

    /// How the upstream of a request does that waits for so long already.
    [[nodiscard]] request_observation
    observe_unanswered(upstream_tag upstream, duration waited) const;

    /// The usual answer time; nothing while too few answers told theirs.
    [[nodiscard]] std::optional<duration> usual_time() const;

    /// How many requests a flow of the route brings, in the mean; 1 while no
    /// flow was seen. Below two, a flow is about as long as its request.
    [[nodiscard]] double requests_per_flow(time_point now) const;

    /// After which time without an acknowledgement a request counts as
    /// unanswered. Nothing where that tells nothing: answers of one packet on
    /// flows that stay open are acknowledged only with the next request.
    [[nodiscard]] std::optional<duration> unanswered_after() const;

    /// Answers shorter than this are errors or refusals; zero while there are
    /// too few answers.
    [[nodiscard]] std::uint32_t short_below() const;

private:
    [[nodiscard]] bool
    is_time_known(time_point now, ended_request const& ended) const;
    [[nodiscard]] bool should_sample(time_point now, bool is_short);
    void update_usual();

    decayed_sum flows;
    decayed_sum requests;
    /// Answer times in microseconds.
    sample_quantiles times;
    sample_quantiles lengths;
    /// Answers, and those whose time is known.
    decayed_sum answers;
    decayed_sum timed_answers;
    time_point next_sample_at;
    /// Short answers that came when a sample was due.
    std::uint32_t short_answers = 0;
    /// As of the latest sample; zero while unknown.
    duration usual{};
    std::uint32_t usual_length = 0;
    bool tells_silence = false;
};

} // namespace cairnhead
