#pragma once

#include <observability/log_line.hpp>

#include <string>

namespace cairnhead
{

/// Passes a finished line through easylogging++, which was built without file
/// output, and gives it back: the library's own writing waits for the reader.
/// Thread safety: one thread at a time.
[[nodiscard]] std::string
through_easylogging(log_level level, std::string const& line);

} // namespace cairnhead
