#include "command_line.hpp"
#include "command_table.hpp"
#include "failure_report.hpp"
#include "usage_error.hpp"

#include <iostream>
#include <string_view>
#include <vector>

namespace
{

using namespace cairnhead;

exit_code dispatch(std::span<std::string_view const> arguments)
{
    if (arguments.empty())
        throw usage_error(usage_error_kind::missing_command, "");
    std::string_view const first = arguments.front();
    if (first == "--help")
    {
        std::cout << describe_program();
        return exit_code::success;
    }
    if (first == "--version")
    {
        std::cout << "cairnhead " CAIRNHEAD_VERSION "\n";
        return exit_code::success;
    }
    if (first.starts_with('-'))
        throw usage_error(usage_error_kind::unknown_flag, std::string(first));
    command const& invoked = find_command(first);
    auto const read = read_command_line(invoked, arguments.subspan(1));
    if (read.kind == invocation_kind::carry_out)
        return invoked.run(read.operands);
    std::cout << describe_command(invoked);
    return exit_code::success;
}

} // namespace

int main(int count, char** arguments)
{
    std::vector<std::string_view> const given(arguments + 1, arguments + count);
    try
    {
        return static_cast<int>(dispatch(given));
    }
    catch (...)
    {
        return static_cast<int>(report_failure(std::cerr));
    }
}
