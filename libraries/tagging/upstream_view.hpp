#pragma once

#include <base/time.hpp>
#include <rating/upstream_rating.hpp>

#include <cstdint>
#include <optional>

namespace cairnhead
{

/// Whether an upstream takes new flows, and if not, why.
enum class upstream_verdict : std::uint8_t
{
    ready,
    /// It left openings unanswered and is avoided until a back-off expires.
    avoided,
    /// A check got no answer from it, while a reference upstream answered.
    unreachable,
    /// Its failure domain is unreachable.
    domain_unreachable,
    /// It vanished from the registry recently and may still be running.
    missing,
    /// It has been missing from the registry for longer than the grace period,
    /// or another upstream took over its address.
    gone,
    /// It asked for no new flows, as it is draining.
    draining,
    /// Operators are evacuating its failure domain.
    evacuated,
    /// It is in slow start, and this VM may send it no more openings for now.
    cold,
    /// Its answers are errors, by its rating.
    ejected,
};

/// The state of an upstream as one VM sees it, with the evidence.
struct upstream_view
{
    upstream_verdict verdict = upstream_verdict::ready;
    /// Flows per slot, in thousandths, as placement compares them. Larger for
    /// cold upstreams, for those of other failure domains, and for those that
    /// are rated as slow.
    std::uint32_t load_permille = 0;
    /// Consecutive openings that it left unanswered.
    std::uint32_t unanswered = 0;
    std::optional<time_point> answered_at;
    std::optional<time_point> silent_since;
    std::optional<time_point> avoided_until;
    std::optional<time_point> missing_since;
    /// End of slow start. Until then it gets part of its usual share of flows.
    std::optional<time_point> cold_until;
    /// The rating in force; an upstream without one performs as usual.
    std::optional<upstream_rating> rating{};
};

} // namespace cairnhead
