#include <placement/upstream_health.hpp>

#include <algorithm>

namespace cairnhead
{

namespace
{

/// A new latency has a weight of one eighth in the moving average, as in TCP's
/// smoothed round-trip time.
constexpr duration::rep latency_divisor = 8;
/// More doublings make no difference and would overflow.
constexpr std::uint32_t maximum_doublings = 20;

} // namespace

bool upstream_health::confirm(time_point now, duration latency)
{
    auto const previous = this->average_latency.value_or(latency);
    this->average_latency = previous + (latency - previous) / latency_divisor;
    this->failures = 0;
    this->ejection_end = std::min(this->ejection_end, now);
    if (now > this->ejection_count_resets_at)
    {
        this->ejections = 0;
    }
    auto const is_restored = this->is_reported_ejected;
    this->is_reported_ejected = false;
    return is_restored;
}

void upstream_health::record_unanswered()
{
    this->failures += 1;
}

bool upstream_health::should_eject(
    time_point now,
    placement_settings const& settings,
    bool is_probe_failed) const
{
    if (this->failures == 0 || this->is_ejected(now))
    {
        return false;
    }
    auto const probe_failures = is_probe_failed ? 1U : 0U;
    return this->failures + probe_failures >= settings.failures_to_eject;
}

time_point
upstream_health::eject(time_point now, placement_settings const& settings)
{
    auto const doublings = std::min(this->ejections, maximum_doublings);
    auto const doubled_length = settings.ejection_minimum * (1LL << doublings);
    auto const length =
        std::min<duration>(doubled_length, settings.ejection_maximum);
    this->ejections += 1;
    this->is_reported_ejected = true;
    this->ejection_end = now + length;
    this->ejection_count_resets_at = this->ejection_end + length;
    // The first opening after the ejection is a trial: one more failure ejects
    // again.
    this->failures = std::max(settings.failures_to_eject, 1U) - 1;
    return this->ejection_end;
}

bool upstream_health::is_ejected(time_point now) const
{
    return now < this->ejection_end;
}

time_point upstream_health::ejected_until() const
{
    return this->ejection_end;
}

std::optional<duration> upstream_health::latency() const
{
    return this->average_latency;
}

} // namespace cairnhead
