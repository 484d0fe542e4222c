#include "command_table.hpp"

#include "usage_error.hpp"

#include <absl/flags/reflection.h>
#include <algorithm>
#include <sstream>

namespace cairnhead
{

namespace
{

constexpr int name_column = 16;

std::vector<command> make_commands()
{
    return {
        {"run",
         "Runs the daemon of an entry VM. SIGTERM is a planned leave; a "
         "second one ends at once.",
         {},
         {"settings"},
         &run_daemon},
        {"check",
         "Checks a settings file or declarations, and lists every error with "
         "its place.",
         {},
         {"settings", "declarations"},
         &check_files},
        {"match",
         "Lists the upstreams that a label selector picks from declarations.",
         {"SELECTOR"},
         {"declarations", "json"},
         &match_selector},
        {"status",
         "Shows what a running daemon does and which documents it has.",
         {},
         {"at", "json"},
         &show_status},
        {"members",
         "Shows the entry VMs that a running daemon knows.",
         {},
         {"at", "json"},
         &show_members},
        {"services",
         "Shows the services in force on a running daemon.",
         {},
         {"at", "json"},
         &show_services},
        {"upstreams",
         "Shows the upstreams that a running daemon knows, with their health.",
         {},
         {"at", "json"},
         &show_upstreams},
        {"explain",
         "Shows which upstream has a flow, by which rule and version, and "
         "which "
         "one a new flow would get. FLOW is PROTOCOL:CALLER:PORT-SERVICE:PORT, "
         "for instance tcp:10.0.0.1:40000-198.51.100.1:8443. With --log it "
         "tells from VMs' logs what became of flows; then FLOW is a caller's "
         "ADDRESS:PORT, or the ADDRESS of a caller or an upstream.",
         {"FLOW"},
         {"at", "log", "from", "until", "json"},
         &explain_flow},
    };
}

void write_row(
    std::ostream& out, std::string const& name, std::string_view text)
{
    std::size_t const used = std::min<std::size_t>(name.size(), name_column);
    out << "  " << name << std::string(name_column - used, ' ') << ' ' << text
        << '\n';
}

} // namespace

std::span<command const> all_commands()
{
    static std::vector<command> const commands = make_commands();
    return commands;
}

command const& find_command(std::string_view name)
{
    auto const commands = all_commands();
    auto const found = std::ranges::find(commands, name, &command::name);
    if (found == commands.end())
        throw usage_error(usage_error_kind::unknown_command, std::string(name));
    return *found;
}

std::string describe_program()
{
    std::ostringstream out;
    out << "Usage: cairnhead COMMAND [ARGUMENTS] [FLAGS]\n"
           "       cairnhead COMMAND --help\n"
           "       cairnhead --version\n\n"
           "Commands:\n";
    for (command const& each : all_commands())
        write_row(out, std::string(each.name), each.summary);
    out << "\nExit codes: 0 success, 1 rejected input or failed daemon, "
           "2 wrong command line, 3 no daemon answered.\n";
    return out.str();
}

std::string describe_command(command const& described)
{
    std::ostringstream out;
    out << "Usage: cairnhead " << described.name;
    for (std::string_view const operand : described.operands)
        out << ' ' << operand;
    out << " [FLAGS]\n\n" << described.summary << "\n\nFlags:\n";
    for (std::string_view const name : described.flags)
    {
        absl::CommandLineFlag const* const flag =
            absl::FindCommandLineFlag({name.data(), name.size()});
        write_row(out, "--" + std::string(name), flag->Help());
    }
    write_row(out, "--help", "Show this.");
    return out.str();
}

} // namespace cairnhead
