#pragma once

#include <control/control_client.hpp>
#include <nlohmann/json_fwd.hpp>

namespace cairnhead
{

class text_table;

/// The client for the daemon that `--at` names. Throws `usage_error`.
/// Thread safety: no shared state.
[[nodiscard]] control_client make_control_client();

/// Whether `--json` was given. Thread safety: no shared state.
[[nodiscard]] bool is_json_wanted();

/// Writes JSON to standard output. No precondition.
void print(nlohmann::json const& answer);

/// Writes a table to standard output. No precondition.
void print(text_table const& answer);

} // namespace cairnhead
