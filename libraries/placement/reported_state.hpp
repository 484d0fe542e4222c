#pragma once

#include <event/settings.hpp>
#include <protocol/control_message.hpp>

#include <optional>

namespace cairnhead
{

/// What is new in a report.
enum class report_news : std::uint8_t
{
    /// Nothing: it is older than what is known, or says the same.
    none,
    /// A fresher load.
    load,
    /// Another condition.
    condition,
};

/// The latest report about one upstream. Reports lag and may lie, so their
/// influence is bounded by those who use it.
/// Thread safety of all methods: none.
class reported_state
{
public:
    /// Takes a report in, and tells what is new. `load_period` is the least
    /// time between two loads that count as news. No precondition.
    report_news
    update(time_point now, upstream_report const& report, duration load_period);

    /// The condition as last reported; healthy when that is too old.
    /// No precondition.
    [[nodiscard]] upstream_condition
    condition(time_point now, duration lifetime) const;

    /// Whether it said that it leaves and has not said since that it is back.
    /// It stays so when reports stop or probes fail, since a leaving upstream
    /// goes silent in the end. No precondition.
    [[nodiscard]] bool is_draining() const;

    /// Load where 1000 is full, if a fresh one is known. No precondition.
    [[nodiscard]] std::optional<std::uint16_t>
    load_permille(time_point now, duration lifetime) const;

    /// How fresh the report is: 1 for a new one, 0 at the end of `lifetime`.
    /// Precondition: `lifetime` is above zero.
    [[nodiscard]] double freshness(time_point now, duration lifetime) const;

    /// The report as it travels on, or nothing when there is none.
    /// No precondition.
    [[nodiscard]] std::optional<upstream_report>
    to_report(time_point now, upstream_id upstream) const;

private:
    bool has_report = false;
    bool has_left = false;
    upstream_condition last_condition = upstream_condition::healthy;
    std::uint16_t last_load_permille = 0;
    time_point observed_at;
    time_point next_load_news_at;
};

} // namespace cairnhead
