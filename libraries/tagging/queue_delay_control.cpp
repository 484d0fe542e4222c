#include <tagging/queue_delay_control.hpp>

#include <algorithm>

namespace cairnhead
{

namespace
{

using std::chrono_literals::operator""ms;

constexpr duration update_period = 50ms;

/// With fewer, one slow request would pass for a queue.
constexpr std::uint32_t fewest_answers = 3;

/// Without answers for so long nothing is known of the queue.
constexpr duration memory = 500ms;

/// Part of the target latency that requests may wait and work, in the mean.
/// Times spread: with a mean of little over half of the target few are beyond
/// the whole of it.
constexpr double reference = 0.56;

/// What a delay of one target above the reference, one as far below it, and one
/// that grew by one target add to the share at each update.
constexpr double weight_of_excess = 0.6;
constexpr double weight_of_shortfall = 0.2;
constexpr double weight_of_growth = 0.4;

/// Some are always let through: they show that the queue is gone. Callers try
/// again at once, so that few may be.
constexpr double largest_share = 0.98;

} // namespace

void queue_delay_control::note_answer(
    time_point now, duration waited, duration target)
{
    if (target <= duration::zero())
        return;
    this->delay_sum += std::chrono::duration<double>(waited) /
                       std::chrono::duration<double>(target);
    ++this->answers;
    this->latest_answer_at = now;
}

double queue_delay_control::share(time_point now)
{
    if (now >= this->next_update_at)
        this->update(now);
    return this->refused_share;
}

bool queue_delay_control::is_idle(time_point now) const
{
    return now > this->latest_answer_at + memory;
}

void queue_delay_control::update(time_point now)
{
    this->next_update_at = now + update_period;
    if (this->is_idle(now))
    {
        *this = {};
        this->next_update_at = now + update_period;
        return;
    }
    if (this->answers < fewest_answers)
        return;
    double const before = this->delay;
    this->delay = this->delay_sum / this->answers;
    this->delay_sum = 0;
    this->answers = 0;
    double const excess = this->delay - reference;
    double const weight = excess > 0 ? weight_of_excess : weight_of_shortfall;
    double const change =
        weight * excess + weight_of_growth * (this->delay - before);
    this->refused_share =
        std::clamp(this->refused_share + change, 0.0, largest_share);
}

} // namespace cairnhead
