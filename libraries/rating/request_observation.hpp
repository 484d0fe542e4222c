#pragma once

#include <registry/tag.hpp>

#include <cstdint>

namespace cairnhead
{

/// How a request ended, as far as the caller's packets show it.
enum class request_outcome : std::uint8_t
{
    answered = 0,
    /// The answer was much shorter than the route's usual ones: an error, or a
    /// refusal by the upstream.
    short_answer = 1,
    /// No answer was acknowledged for several times the usual answer time.
    unanswered = 2,
};

/// What one VM saw of one request.
struct request_observation
{
    upstream_tag upstream;
    request_outcome outcome = request_outcome::answered;
    /// Answer time relative to the route's usual one, in thousandths; zero if
    /// the time is unknown.
    std::uint16_t relative_permille = 0;
    /// Zero if the time is unknown.
    std::uint32_t answer_milliseconds = 0;

    bool operator==(request_observation const&) const = default;
};

} // namespace cairnhead
