#include <tagging/connection_trial.hpp>

#include <algorithm>

namespace cairnhead
{

namespace
{

using std::chrono_literals::operator""ms;

/// Above a round trip between regions by a wide margin.
constexpr duration answer_timeout = 100ms;

/// A suspect gets this long after a look that showed a witness's answer: the
/// suspect may be farther away than the witness.
constexpr duration settling_time = 50ms;

/// Without a witness's answer by then the trial shows nothing.
constexpr duration patience = 600ms;

/// Between two looks of a process that is given the processor. What was in the
/// air while a process or its VM stood still may be lost for the one and not
/// for the other.
constexpr duration longest_gap = 300ms;

} // namespace

connection_trial::connection_trial(time_point now)
    : started_at(now), looked_at(now), look_due_at(now + settling_time)
{
}

std::optional<connection_outcome>
connection_trial::judge(time_point now, trial_look const& look)
{
    if (look.suspect == connection_state::accepted)
        return connection_outcome::connected;
    if (look.suspect == connection_state::refused)
        return connection_outcome::refused;
    this->was_held_up |= now > this->looked_at + longest_gap;
    this->looked_at = now;
    if (this->was_held_up || now >= this->started_at + patience)
        return connection_outcome::inconclusive;
    if (look.witness != connection_state::pending && !this->witnessed_at)
        this->witnessed_at = now;
    bool const has_settled = this->witnessed_at &&
                             now >= *this->witnessed_at + settling_time &&
                             now >= this->started_at + answer_timeout;
    if (has_settled)
        return connection_outcome::unanswered;
    this->look_due_at = now + settling_time;
    return std::nullopt;
}

time_point connection_trial::next_due() const
{
    return std::min(this->look_due_at, this->started_at + patience);
}

} // namespace cairnhead
