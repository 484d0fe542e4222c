#pragma once

#include "exit_code.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cairnhead
{

/// The arguments of a command that are not flags.
using operand_list = std::span<std::string const>;

/// One command of the program.
struct command
{
    std::string_view name;
    std::string_view summary;
    /// Names of the arguments that it needs, in order.
    std::vector<std::string_view> operands;
    /// Names of the flags that it takes.
    std::vector<std::string_view> flags;
    /// Precondition: as many operands as named, and flags set.
    exit_code (*run)(operand_list operands);
};

// Each command is in a file of its own. They throw `usage_error` and the
// typed errors of the libraries; `main` reports them.
exit_code run_daemon(operand_list operands);
exit_code check_files(operand_list operands);
exit_code match_selector(operand_list operands);
exit_code show_status(operand_list operands);
exit_code show_members(operand_list operands);
exit_code show_services(operand_list operands);
exit_code show_upstreams(operand_list operands);
exit_code explain_flow(operand_list operands);

} // namespace cairnhead
