#include <exploration/explorer.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <iostream>

ABSL_FLAG(std::uint32_t, vms, 20, "VMs of the failure domain");
ABSL_FLAG(std::uint32_t, disturbances, 3, "how much happens in a run");
ABSL_FLAG(std::uint64_t, seed, 1, "of the first random run");
ABSL_FLAG(std::uint64_t, runs, 1'000, "how many runs, at most");
ABSL_FLAG(
    bool,
    in_order,
    false,
    "try everything on a coarse grid in place of random runs");

using namespace cairnhead;
using namespace cairnhead::exploration;

namespace
{

exploration_result explore()
{
    bool const is_in_order = absl::GetFlag(FLAGS_in_order);
    exploration_shape const shape{
        absl::GetFlag(FLAGS_vms), absl::GetFlag(FLAGS_disturbances),
        is_in_order};
    auto const runs = absl::GetFlag(FLAGS_runs);
    return is_in_order
               ? explore_in_order(shape, runs)
               : explore_at_random(shape, absl::GetFlag(FLAGS_seed), runs);
}

} // namespace

int main(int count, char** words)
{
    absl::SetProgramUsageMessage(
        "Explores who reads the platform for a failure domain while the "
        "platform, VMs and the network between them fail, and prints the "
        "fewest disturbances that break a rule.");
    absl::ParseCommandLine(count, words);
    auto const result = explore();
    std::cout << "runs=" << result.runs
              << " complete=" << (result.is_complete ? "yes" : "no") << '\n';
    if (!result.finding)
        return 0;
    std::cout << "violation=" << to_text(result.finding->violation)
              << " seed=" << result.finding->seed << '\n'
              << describe(result.finding->script);
    return 1;
}
