#pragma once

#include <base/time.hpp>
#include <settings/settings_error.hpp>

#include <string_view>
#include <variant>

namespace cairnhead
{

/// Reads `500ms`, `2s`, `10min` or `2h`. The kind is `unit_missing` for a
/// bare number, `out_of_range` for one that no duration can hold, and
/// `bad_duration` for anything else. Thread safety: no shared state.
[[nodiscard]] std::variant<duration, settings_error_kind>
parse_duration(std::string_view text);

} // namespace cairnhead
