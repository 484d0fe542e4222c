#pragma once

#include "exit_code.hpp"

#include <iosfwd>

namespace cairnhead
{

/// Tells the operator in plain words what the present exception means, and
/// gives the exit code for it. Precondition: called in a `catch` block.
/// Thread safety: no shared state.
[[nodiscard]] exit_code report_failure(std::ostream& out);

} // namespace cairnhead
