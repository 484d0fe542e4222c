#pragma once

#include <observability/flow_metrics.hpp>
#include <observability/metrics.hpp>
#include <reducer/reducer_view.hpp>

namespace cairnhead
{

/// Sets the gauges, and names the organisations in the labels.
/// Thread safety: the thread that owns the metrics.
void update_gauges(metrics& measured, reducer_gauges const& counted);

/// What of the beliefs is shown as numbers. Thread safety: no shared state.
[[nodiscard]] belief_gauges
count_beliefs(time_point now, reducer_gauges const& counted);

} // namespace cairnhead
