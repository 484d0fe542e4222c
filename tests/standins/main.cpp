#include "commands.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <exception>
#include <span>
#include <string_view>

ABSL_FLAG(std::string, address, "", "own UDP address:port");
ABSL_FLAG(std::string, control, "", "HTTP address:port for tests");
ABSL_FLAG(std::string, fabric, "127.0.0.10:6082", "the fabric's address:port");
ABSL_FLAG(std::string, listen, "", "address:port to listen at");
ABSL_FLAG(std::string, service, "", "the service's address:port");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of every random choice");
ABSL_FLAG(std::string, vms, "", "comma list of the entry VMs' addresses");

namespace
{

using namespace cairnhead::standins;

constexpr int usage_status = 2;

struct command
{
    std::string_view name;
    void (*run)(termination_signal const&);
};

constexpr std::array commands{
    command{"platform", run_platform},
    command{"fabric", run_fabric},
    command{"upstream", run_upstream},
    command{"callers", run_callers},
};

/// Abseil's flags are C++ names, so `--vm-port` has to become `--vm_port`.
void name_flags(std::span<char*> arguments)
{
    for (auto* const argument : arguments)
    {
        std::string_view const text{argument};
        if (!text.starts_with("--"))
        {
            continue;
        }
        auto const size = std::min(text.find('='), text.size()) - 2;
        std::ranges::replace(std::span{argument + 2, size}, '-', '_');
    }
}

int run(std::string_view name)
{
    termination_signal const termination;
    for (auto const& candidate : commands)
    {
        if (candidate.name != name)
        {
            continue;
        }
        candidate.run(termination);
    }
    std::fputs("usage: platform|fabric|upstream|callers --flag=…\n", stderr);
    return usage_status;
}

} // namespace

int main(int count, char** arguments)
{
    name_flags(std::span{arguments, static_cast<std::size_t>(count)});
    auto const words = absl::ParseCommandLine(count, arguments);
    try
    {
        return run(words.size() == 2 ? words[1] : "");
    }
    catch (std::exception const& failure)
    {
        std::fprintf(stderr, "error=\"%s\"\n", failure.what());
        return usage_status;
    }
}
