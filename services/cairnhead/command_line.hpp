#pragma once

#include "command.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cairnhead
{

/// Whether a command is to be carried out or described.
enum class invocation_kind : std::uint8_t
{
    carry_out,
    describe,
};

/// A command line after it was read. The flags are in Abseil's registry.
struct invocation
{
    invocation_kind kind = invocation_kind::carry_out;
    std::vector<std::string> operands;
};

/// Reads what follows a command's name and sets its flags.
/// Abseil's own parser is not used: it ends the process with exit code 1 at
/// an unknown flag, and offers every flag to every command.
/// Throws `usage_error`. Thread safety: none; before other threads start.
[[nodiscard]] invocation read_command_line(
    command const& invoked, std::span<std::string_view const> arguments);

} // namespace cairnhead
