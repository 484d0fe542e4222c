#include <tagging/connection_check.hpp>

#include <algorithm>

namespace cairnhead
{

namespace
{

using std::chrono_literals::operator""ms;

/// Exceeds a round trip between regions by a wide margin.
constexpr duration answer_timeout = 100ms;

/// Extra time for the suspect after the observation that showed a reference
/// upstream's answer, as the suspect may be farther away.
constexpr duration settling_time = 50ms;

/// Without an answer of a reference upstream by then the check is inconclusive.
constexpr duration check_timeout = 600ms;

/// Longest time between two observations of a process that gets CPU time. A
/// longer gap means that the process or its VM was paused. Packets in flight
/// during a pause may be lost for the suspect and not for the reference
/// upstream.
constexpr duration maximum_observation_gap = 300ms;

} // namespace

connection_check::connection_check(time_point now)
    : started_at(now), observed_at(now), observation_due_at(now + settling_time)
{
}

std::optional<connection_outcome>
connection_check::evaluate(time_point now, check_observation const& observed)
{
    if (observed.suspect == connection_state::accepted)
        return connection_outcome::connected;
    if (observed.suspect == connection_state::refused)
        return connection_outcome::refused;
    this->was_paused |= now > this->observed_at + maximum_observation_gap;
    this->observed_at = now;
    if (this->was_paused || now >= this->started_at + check_timeout)
        return connection_outcome::inconclusive;
    if (observed.reference != connection_state::pending &&
        !this->reference_answered_at)
        this->reference_answered_at = now;
    bool const has_settled =
        this->reference_answered_at &&
        now >= *this->reference_answered_at + settling_time &&
        now >= this->started_at + answer_timeout;
    if (has_settled)
        return connection_outcome::unanswered;
    this->observation_due_at = now + settling_time;
    return std::nullopt;
}

time_point connection_check::next_due() const
{
    return std::min(this->observation_due_at, this->started_at + check_timeout);
}

} // namespace cairnhead
