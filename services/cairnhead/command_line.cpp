#include "command_line.hpp"

#include "usage_error.hpp"

#include <absl/flags/reflection.h>
#include <algorithm>
#include <optional>
#include <utility>

namespace cairnhead
{

namespace
{

constexpr std::string_view flag_prefix = "--";

/// Reads the arguments from left to right.
class argument_reader
{
public:
    argument_reader(
        command const& given, std::span<std::string_view const> arguments)
        : invoked(given), rest(arguments)
    {
    }

    invocation read()
    {
        while (!this->rest.empty())
            this->read_next(this->take());
        return std::move(this->result);
    }

private:
    std::string_view take()
    {
        std::string_view const first = this->rest.front();
        this->rest = this->rest.subspan(1);
        return first;
    }

    void read_next(std::string_view argument)
    {
        if (argument == "--help")
            this->result.kind = invocation_kind::describe;
        else if (argument.size() > 1 && argument.starts_with('-'))
            this->read_flag(argument);
        else
            this->result.operands.emplace_back(argument);
    }

    void read_flag(std::string_view argument)
    {
        std::size_t const equals = argument.find('=');
        std::string_view const name = argument.substr(0, equals);
        absl::CommandLineFlag& flag = this->find_flag(name);
        std::string_view value = "true";
        if (equals != std::string_view::npos)
            value = argument.substr(equals + 1);
        else if (!flag.IsOfType<bool>())
            value = this->take_value(name);
        std::string message;
        if (!flag.ParseFrom({value.data(), value.size()}, &message))
            throw usage_error(
                usage_error_kind::bad_flag_value, std::string(argument));
    }

    absl::CommandLineFlag& find_flag(std::string_view written) const
    {
        usage_error const unknown(
            usage_error_kind::unknown_flag, std::string(written));
        if (!written.starts_with(flag_prefix))
            throw unknown;
        std::string_view const name = written.substr(flag_prefix.size());
        if (std::ranges::count(this->invoked.flags, name) == 0)
            throw unknown;
        return *absl::FindCommandLineFlag({name.data(), name.size()});
    }

    std::string_view take_value(std::string_view name)
    {
        if (this->rest.empty())
            throw usage_error(
                usage_error_kind::missing_flag_value, std::string(name));
        return this->take();
    }

    command const& invoked;
    std::span<std::string_view const> rest;
    invocation result;
};

void check_operands(command const& invoked, operand_list operands)
{
    std::size_t const needed = invoked.operands.size();
    if (operands.size() < needed)
        throw usage_error(
            usage_error_kind::missing_argument,
            std::string(invoked.operands[operands.size()]));
    if (operands.size() > needed)
        throw usage_error(
            usage_error_kind::unexpected_argument, operands[needed]);
}

} // namespace

invocation read_command_line(
    command const& invoked, std::span<std::string_view const> arguments)
{
    invocation read = argument_reader(invoked, arguments).read();
    if (read.kind == invocation_kind::carry_out)
        check_operands(invoked, read.operands);
    return read;
}

} // namespace cairnhead
