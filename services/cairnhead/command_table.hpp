#pragma once

#include "command.hpp"

#include <span>
#include <string>
#include <string_view>

namespace cairnhead
{

/// All commands, in the order in which help shows them.
/// Thread safety: concurrent readers.
[[nodiscard]] std::span<command const> all_commands();

/// Throws `usage_error`. Thread safety: concurrent readers.
[[nodiscard]] command const& find_command(std::string_view name);

/// Help on the whole program. Thread safety: concurrent readers.
[[nodiscard]] std::string describe_program();

/// Help on one command. Thread safety: concurrent readers.
[[nodiscard]] std::string describe_command(command const& described);

} // namespace cairnhead
