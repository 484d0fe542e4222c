#include <placement/reported_state.hpp>

#include <algorithm>
#include <limits>

namespace cairnhead
{

namespace
{

std::uint32_t to_milliseconds(duration age)
{
    auto const count =
        std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    constexpr std::int64_t maximum = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(
        std::clamp(count, std::int64_t{0}, maximum));
}

} // namespace

report_change reported_state::update(
    time_point now, upstream_report const& report, duration load_period)
{
    auto const observed =
        now - std::chrono::milliseconds(report.age_milliseconds);
    if (this->has_report && observed <= this->observed_at)
    {
        return report_change::none;
    }
    auto const is_changed = this->last_condition != report.condition;
    this->has_report = true;
    this->observed_at = observed;
    this->last_condition = report.condition;
    this->last_load_permille = report.load_permille;
    if (report.condition != upstream_condition::failed)
    {
        this->is_drain_reported =
            report.condition == upstream_condition::draining;
    }
    if (!is_changed && now < this->next_load_change_at)
    {
        return report_change::none;
    }
    this->next_load_change_at = now + load_period;
    return is_changed ? report_change::condition : report_change::load;
}

upstream_condition
reported_state::condition(time_point now, duration lifetime) const
{
    if (!this->has_report || now - this->observed_at >= lifetime)
    {
        return upstream_condition::healthy;
    }
    return this->last_condition;
}

bool reported_state::is_draining() const
{
    return this->is_drain_reported;
}

std::optional<std::uint16_t>
reported_state::load_permille(time_point now, duration lifetime) const
{
    if (!this->has_report || now - this->observed_at >= lifetime ||
        this->last_condition == upstream_condition::failed)
    {
        return std::nullopt;
    }
    return this->last_load_permille;
}

double reported_state::freshness(time_point now, duration lifetime) const
{
    std::chrono::duration<double> const age = now - this->observed_at;
    std::chrono::duration<double> const full = lifetime;
    return std::clamp(1.0 - age / full, 0.0, 1.0);
}

std::optional<upstream_report>
reported_state::to_report(time_point now, upstream_id upstream) const
{
    if (!this->has_report)
    {
        return std::nullopt;
    }
    return upstream_report{
        .upstream = upstream,
        .condition = this->last_condition,
        .load_permille = this->last_load_permille,
        .age_milliseconds = to_milliseconds(now - this->observed_at)};
}

} // namespace cairnhead
