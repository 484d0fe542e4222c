#include <tagging/queue_delay_control.hpp>

#include <algorithm>

namespace cairnhead
{

namespace
{

using std::chrono_literals::operator""ms;

/// Three or more answers come in this time at a small VM under load.
constexpr duration update_period = 50ms;

/// With fewer, one slow request would pass for a queue.
constexpr std::uint32_t fewest_answers = 3;

/// Without answers for so long nothing is known of the queue.
constexpr duration memory = 500ms;

/// Part of the target latency that requests may wait and work, in the mean.
/// Times spread: with a mean of little over half of it few are beyond the
/// whole. Where upstreams shed what they cannot queue, the mean stands at two
/// thirds in the worst overload: a reference of 0.65 refused nobody. With 0.5
/// callers were refused in moderate bursts that end in time without it (.019
/// of a day's worth less); with this none of those, and .05 to .11 more in
/// heavy ones.
constexpr double reference = 0.56;

/// What a delay of one target above the reference, and one that grew by one
/// target, add to the share at each update. From none to most in a third of a
/// second, which is how long upstreams' queues take to fill.
constexpr double weight_of_excess = 0.2;
constexpr double weight_of_growth = 0.4;

/// Some are always let through: they show that the queue is gone. A caller that
/// is refused tries twice more at once, so that of nine in ten a quarter would
/// come through; of 98 in 100 it is one in seventeen. In a burst of 3.6 times
/// the usual load, with the reference at a half, this more than doubled the
/// requests served in time (514 to 1,108 and 448 to 1,475 of two windows of
/// 3,393 and 3,159), with as many served in all; with 0.9, and 0.6 for the
/// reference, they grew by a tenth.
constexpr double largest_share = 0.98;

} // namespace

void queue_delay_control::note_answer(time_point now, duration waited)
{
    this->waited_sum += waited;
    ++this->answers;
    this->latest_answer_at = now;
}

double queue_delay_control::share(time_point now, duration target)
{
    if (target <= duration::zero())
        return 0;
    if (now >= this->next_update_at)
        this->update(now, target);
    return this->refused_share;
}

bool queue_delay_control::is_idle(time_point now) const
{
    return now > this->latest_answer_at + memory;
}

void queue_delay_control::update(time_point now, duration target)
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
    this->delay_before = this->delay;
    this->delay = this->waited_sum / this->answers;
    this->waited_sum = {};
    this->answers = 0;
    auto const parts = [target](duration length)
    {
        return std::chrono::duration<double>(length) /
               std::chrono::duration<double>(target);
    };
    double const change =
        weight_of_excess * (parts(this->delay) - reference) +
        weight_of_growth * parts(this->delay - this->delay_before);
    this->refused_share =
        std::clamp(this->refused_share + change, 0.0, largest_share);
}

} // namespace cairnhead
