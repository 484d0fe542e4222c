#pragma once

#include <base/time.hpp>
#include <placement/placement_policy.hpp>
#include <placement/reported_state.hpp>

#include <optional>
#include <vector>

namespace cairnhead
{

/// What a service's upstreams have in common, to compare each one with.
struct service_medians
{
    std::optional<double> latency_seconds;
    std::optional<double> load_permille;
};

/// One upstream's signals at one moment.
struct upstream_signals
{
    std::optional<double> latency_seconds;
    std::optional<double> load_permille;
    /// 1 for a new report, 0 for one at the end of its lifetime.
    double report_freshness = 0.0;
    upstream_condition condition = upstream_condition::healthy;
    /// 1 when warm.
    double warm_share = 1.0;
};

/// The medians over those that have a value.
/// No precondition. Thread safety: any number of concurrent callers.
[[nodiscard]] service_medians
find_medians(std::vector<upstream_signals> const& signals);

/// The share of its usual work that an upstream should get now, above 0 and
/// at most 1. Each signal's influence is bounded, because each may mislead.
/// No precondition. Thread safety: any number of concurrent callers.
[[nodiscard]] double estimate_share(
    upstream_signals const& signals,
    service_medians const& medians,
    placement_policy const& policy);

/// The share of an upstream that is cold until `cold_until`, after a slow
/// start of the given length. Precondition: the length is above zero.
/// Thread safety: any number of concurrent callers.
[[nodiscard]] double
find_warm_share(time_point now, time_point cold_until, duration slow_start);

} // namespace cairnhead
