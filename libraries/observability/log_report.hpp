#pragma once

#include <event/effect.hpp>
#include <observability/logger.hpp>

namespace cairnhead
{

/// How severe a report of the reducer is. Thread safety: no shared state.
[[nodiscard]] log_level level_of(report_kind kind);

/// Logs a report of the reducer, its subject under `vm`, `upstream` or
/// `document`. Thread safety: as the logger.
void write_report(logger& log, report const& told);

} // namespace cairnhead
