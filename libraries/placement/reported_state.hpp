#pragma once

#include <event/settings.hpp>
#include <protocol/control_message.hpp>

#include <optional>

namespace cairnhead
{

/// What a report changes.
enum class report_change : std::uint8_t
{
    /// Nothing: the report is older than the latest one, or it has the same
    /// condition and follows the previous change too soon.
    none,
    /// A newer load.
    load,
    /// A different condition.
    condition,
};

/// Holds the latest report about one upstream. Reports are late and may be
/// wrong, so their users bound the influence of a report.
/// No method has a precondition unless its comment states one; none is
/// thread-safe.
class reported_state
{
public:
    /// Applies a report and returns what it changes. `load_period` is the
    /// minimum time between two loads that count as a change.
    report_change
    update(time_point now, upstream_report const& report, duration load_period);

    /// Returns the last reported condition, or healthy when the report is older
    /// than `lifetime`.
    [[nodiscard]] upstream_condition
    condition(time_point now, duration lifetime) const;

    /// Whether the upstream reported that it is draining and has not reported
    /// another condition since. The end of the reports or a failed probe does
    /// not change this, since a draining upstream stops answering in the end.
    [[nodiscard]] bool is_draining() const;

    /// Returns the load, where 1000 is full, if a report within `lifetime` has
    /// one.
    [[nodiscard]] std::optional<std::uint16_t>
    load_permille(time_point now, duration lifetime) const;

    /// Returns the freshness of the report: 1 for a new one, 0 at the end of
    /// `lifetime`.
    /// Precondition: `lifetime` is above zero.
    [[nodiscard]] double freshness(time_point now, duration lifetime) const;

    /// Returns the report with its current age for forwarding, or nothing when
    /// there is none.
    [[nodiscard]] std::optional<upstream_report>
    to_report(time_point now, upstream_id upstream) const;

private:
    bool has_report = false;
    bool is_drain_reported = false;
    upstream_condition last_condition = upstream_condition::healthy;
    std::uint16_t last_load_permille = 0;
    time_point observed_at;
    time_point next_load_change_at;
};

} // namespace cairnhead
