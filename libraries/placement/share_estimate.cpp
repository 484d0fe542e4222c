#include <placement/share_estimate.hpp>

#include <algorithm>

namespace cairnhead
{

namespace
{

/// A latency up to this many times the median is normal.
constexpr double ordinary_latency_ratio = 2.0;
/// A latency that exceeds the median by no more than this is normal whatever
/// the ratio: the distance of the callers themselves varies by as much.
constexpr double ordinary_latency_seconds = 0.002;
/// Reported load that exceeds the median by no more than this is normal.
constexpr double ordinary_load_permille = 150.0;
/// Reduction of the share for each permille of load beyond that.
constexpr double share_per_permille = 0.0005;
/// Share of an upstream that reports `shedding`: it asks for less work.
constexpr double shedding_share = 0.5;
/// Share of an upstream whose probe failed while its openings are still
/// answered.
constexpr double failed_probe_share = 0.25;
/// Share at the beginning of a slow start: enough to learn whether the upstream
/// answers.
constexpr double minimum_slow_start_share = 0.05;

std::optional<double> find_median(std::vector<double> values)
{
    if (values.empty())
    {
        return std::nullopt;
    }
    auto const middle =
        values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

double latency_share(
    upstream_signals const& signals,
    service_medians const& medians,
    placement_policy const& policy)
{
    if (!signals.latency_seconds || !medians.latency_seconds)
    {
        return 1.0;
    }
    auto const own = *signals.latency_seconds;
    auto const ordinary = std::max(
        *medians.latency_seconds * ordinary_latency_ratio,
        *medians.latency_seconds + ordinary_latency_seconds);
    if (own <= ordinary)
    {
        return 1.0;
    }
    return std::max(ordinary / own, policy.minimum_latency_share);
}

bool is_contradicted(
    upstream_signals const& signals,
    service_medians const& medians,
    placement_policy const& policy)
{
    return signals.latency_seconds && medians.latency_seconds &&
           *signals.latency_seconds <=
               *medians.latency_seconds * policy.contradicting_latency_ratio;
}

double report_share(
    upstream_signals const& signals,
    service_medians const& medians,
    placement_policy const& policy)
{
    if (!signals.load_permille || !medians.load_permille)
    {
        return 1.0;
    }
    auto const excess = *signals.load_permille - *medians.load_permille -
                        ordinary_load_permille;
    // A report can reduce the share of an upstream but never raise it: an
    // overloaded upstream that reports no load would otherwise get more work.
    if (excess <= 0.0 || is_contradicted(signals, medians, policy))
    {
        return 1.0;
    }
    auto const loss = excess * share_per_permille * signals.report_freshness;
    return std::max(1.0 - loss, policy.minimum_report_share);
}

double condition_share(upstream_condition condition)
{
    switch (condition)
    {
    case upstream_condition::shedding:
        return shedding_share;
    case upstream_condition::failed:
        return failed_probe_share;
    case upstream_condition::healthy:
    case upstream_condition::draining:
        break;
    }
    return 1.0;
}

} // namespace

service_medians find_medians(std::vector<upstream_signals> const& signals)
{
    std::vector<double> latencies;
    std::vector<double> loads;
    for (auto const& one : signals)
    {
        if (one.latency_seconds)
        {
            latencies.push_back(*one.latency_seconds);
        }
        if (one.load_permille)
        {
            loads.push_back(*one.load_permille);
        }
    }
    return {
        .latency_seconds = find_median(std::move(latencies)),
        .load_permille = find_median(std::move(loads))};
}

double estimate_share(
    upstream_signals const& signals,
    service_medians const& medians,
    placement_policy const& policy)
{
    return signals.slow_start_share * condition_share(signals.condition) *
           latency_share(signals, medians, policy) *
           report_share(signals, medians, policy);
}

double find_slow_start_share(
    time_point now, time_point cold_until, duration slow_start)
{
    if (now >= cold_until)
    {
        return 1.0;
    }
    std::chrono::duration<double> const left = cold_until - now;
    std::chrono::duration<double> const full = slow_start;
    return std::clamp(1.0 - left / full, minimum_slow_start_share, 1.0);
}

} // namespace cairnhead
