#pragma once

#include <base/time.hpp>
#include <placement/placement_policy.hpp>
#include <placement/reported_state.hpp>

#include <optional>
#include <vector>

namespace cairnhead
{

/// Medians over the upstreams of a service, which each upstream is compared
/// with.
struct service_medians
{
    std::optional<double> latency_seconds;
    std::optional<double> load_permille;
};

/// The signals of one upstream at one time.
struct upstream_signals
{
    std::optional<double> latency_seconds;
    std::optional<double> load_permille;
    /// 1 for a new report, 0 for one at the end of its lifetime.
    double report_freshness = 0.0;
    upstream_condition condition = upstream_condition::healthy;
    /// Fraction of its usual work during slow start; 1 afterwards.
    double slow_start_share = 1.0;
};

/// Returns the medians over the upstreams that have a value.
/// No precondition. Thread safety: any number of concurrent callers.
[[nodiscard]] service_medians
find_medians(std::vector<upstream_signals> const& signals);

/// Returns the share of its usual work that an upstream should get now, above 0
/// and at most 1. The influence of each signal is bounded, because each may
/// mislead.
/// No precondition. Thread safety: any number of concurrent callers.
[[nodiscard]] double estimate_share(
    upstream_signals const& signals,
    service_medians const& medians,
    placement_policy const& policy);

/// Returns the share of an upstream in slow start, which ends at `cold_until`
/// and has a length of `slow_start`.
/// Precondition: `slow_start` is above zero. Thread safety: any number of
/// concurrent callers.
[[nodiscard]] double find_slow_start_share(
    time_point now, time_point cold_until, duration slow_start);

} // namespace cairnhead
