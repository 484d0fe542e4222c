#include <tagging/queue_delay_control.hpp>

#include <algorithm>

namespace cairnhead
{

namespace
{

using std::chrono_literals::operator""ms;

constexpr duration update_period = 50ms;

/// With fewer answers, one slow request would look like a queue.
constexpr std::uint32_t minimum_answers = 3;

/// After this long without an answer the queue delay is unknown.
constexpr duration sample_lifetime = 500ms;

/// Mean time of requests, queueing and processing together, that the control
/// aims for, as a multiple of the target latency. The times vary: with a mean
/// of little over half of the target, few exceed the target.
constexpr double reference_delay = 0.56;

/// Gains of the control: change of the share at each update, per target latency
/// by which the delay is above the reference, is below it, and has grown since
/// the update before.
constexpr double gain_above_reference = 0.6;
constexpr double gain_below_reference = 0.2;
constexpr double gain_of_growth = 0.4;

/// Some openings are always admitted, as their answers show when the queue is
/// empty again. They are few, as refused callers retry at once.
constexpr double largest_share = 0.98;

} // namespace

void queue_delay_control::record_answer(
    time_point now, duration waited, duration target)
{
    if (target <= duration::zero())
        return;
    this->delay_sum += std::chrono::duration<double>(waited) /
                       std::chrono::duration<double>(target);
    ++this->answers;
    this->latest_answer_at = now;
}

double queue_delay_control::refusal_share(time_point now)
{
    if (now >= this->next_update_at)
        this->update(now);
    return this->refused_share;
}

bool queue_delay_control::is_idle(time_point now) const
{
    return now > this->latest_answer_at + sample_lifetime;
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
    if (this->answers < minimum_answers)
        return;
    double const before = this->delay;
    this->delay = this->delay_sum / this->answers;
    this->delay_sum = 0;
    this->answers = 0;
    double const excess = this->delay - reference_delay;
    double const gain =
        excess > 0 ? gain_above_reference : gain_below_reference;
    double const change =
        gain * excess + gain_of_growth * (this->delay - before);
    this->refused_share =
        std::clamp(this->refused_share + change, 0.0, largest_share);
}

} // namespace cairnhead
