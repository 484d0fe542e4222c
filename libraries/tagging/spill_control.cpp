#include <tagging/spill_control.hpp>

#include <algorithm>
#include <utility>

namespace cairnhead
{

namespace
{

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using seconds = std::chrono::duration<double>;

constexpr duration update_period = 50ms;

/// After a longer time without an update the evidence is not a trend.
constexpr duration longest_step = 200ms;

/// Answers of the own domain that take this many times their usual time for
/// this long start the spill.
constexpr double starting_time = 2.0;
constexpr duration starting_delay = 200ms;

/// Least number of means that are so long in that time. A VM may see only three
/// answers per second, one of which is as long by chance now and then.
constexpr std::uint32_t starting_answers = 3;

/// After this long without an update the load is unknown.
constexpr duration evidence_lifetime = 1s;

/// Spilled while there is a spill at all, so that the other domains' answer
/// time is known.
constexpr double least_share = 0.02;

/// More could move a whole domain's load to others that nobody has asked.
constexpr double largest_share = 0.5;

/// Wait that is accepted in the own domain, in usual answer times: flows that
/// stay within a domain outlive its being cut off.
constexpr double accepted_wait = 0.5;

/// Change of the share per second and second of excess, where it is positive
/// and where it is negative, and per second by which it has grown. A wait grows
/// by the share of load that exceeds the capacity; at these gains the loop
/// settles in about a second if the answers tell of it half a second later. The
/// excess is never far below zero, so that the share would take many seconds to
/// fall with the gain of its rise.
constexpr double gain_of_excess = 0.7;
constexpr double gain_of_room = 4.0;
constexpr double gain_of_growth = 1.3;

/// Of the target latency: with a mean of little over half of it, few answers
/// are late. The same holds for `queue_delay_control`.
constexpr double reference_time = 0.56;

/// How long the mix of openings is remembered.
constexpr duration mix_memory = 2s;

/// Flows of few requests stay in the own domain to this share, as their answers
/// tell its answer time.
constexpr double largest_share_of_mix = 0.9;

} // namespace

spill_control::spill_control() : short_flows(mix_memory), long_flows(mix_memory)
{
}

bool spill_control::is_wait(mean_answer_time const& own)
{
    return own.relative >= starting_time;
}

bool spill_control::is_update_due(time_point now) const
{
    return now >= this->updated_at + update_period;
}

bool spill_control::is_idle(time_point now) const
{
    return now > this->updated_at + evidence_lifetime;
}

void spill_control::update(time_point now, spill_evidence const& evidence)
{
    if (this->is_idle(now))
        this->stop();
    duration const step =
        std::min(now - std::exchange(this->updated_at, now), longest_step);
    // Without answers there is no wait to be seen.
    auto const own = evidence.own.value_or(mean_answer_time());
    this->other_excess.reset();
    if (evidence.other)
        this->other_excess = evidence.other->excess;
    duration const other = this->other_excess.value_or(evidence.round_trip);
    seconds const next =
        seconds(own.excess - other) - accepted_wait * seconds(evidence.usual);
    if (!this->is_active)
    {
        this->observe_wait(now, own, next > seconds::zero());
        return;
    }
    double const gain = next > seconds::zero() ? gain_of_excess : gain_of_room;
    this->computed_share += gain * next.count() * seconds(step).count();
    // An excess over an assumed time is no trend yet: the share would jump
    // before the first answer of another domain tells whether it has room.
    if (this->other_excess)
        this->computed_share +=
            gain_of_growth *
            (next.count() - std::exchange(this->excess, next.count()));
    this->computed_share = std::min(this->computed_share, largest_share);
    if (this->computed_share < least_share)
        this->stop();
}

void spill_control::observe_wait(
    time_point now, mean_answer_time const& own, bool is_other_quicker)
{
    if (!is_wait(own) || !is_other_quicker)
    {
        this->slow_since.reset();
        return;
    }
    if (!this->slow_since)
    {
        this->slow_since = now;
        this->slow_answers = 0;
    }
    this->slow_answers += own.relative != this->slow_relative ? 1 : 0;
    this->slow_relative = own.relative;
    if (now < *this->slow_since + starting_delay ||
        this->slow_answers < starting_answers)
        return;
    this->is_active = true;
    this->computed_share = least_share;
    this->excess = 0;
}

void spill_control::stop()
{
    this->is_active = false;
    this->computed_share = 0;
    this->slow_since.reset();
}

bool spill_control::is_spilling() const
{
    return this->is_active;
}

double spill_control::share() const
{
    return this->computed_share;
}

void spill_control::record_opening(time_point now, flow_length length)
{
    bool const is_short = length == flow_length::few_requests;
    (is_short ? this->short_flows : this->long_flows).add(now, 1.0);
}

double spill_control::share_of(time_point now, flow_length length) const
{
    if (!this->is_active)
        return 0;
    double const short_count = this->short_flows.at(now);
    double const long_count = this->long_flows.at(now);
    double const to_spill = this->computed_share * (short_count + long_count);
    double const of_short =
        std::min(to_spill, largest_share_of_mix * short_count);
    bool const is_short = length == flow_length::few_requests;
    double const count = is_short ? short_count : long_count;
    if (count <= 0)
        return this->computed_share;
    return (is_short ? of_short : to_spill - of_short) / count;
}

bool spill_control::has_room(duration usual, duration target) const
{
    return this->is_active && this->computed_share < largest_share &&
           this->other_excess.has_value() &&
           seconds(usual + *this->other_excess) <=
               reference_time * seconds(target);
}

} // namespace cairnhead
