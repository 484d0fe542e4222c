#include <soak/soak_run.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <chrono>
#include <fstream>
#include <iostream>
#include <optional>
#include <string>

ABSL_FLAG(std::uint64_t, seed, 1, "first seed");
ABSL_FLAG(std::uint32_t, seeds, 1, "how many seeds, one after the other");
ABSL_FLAG(std::uint32_t, minutes, 0, "go on with further seeds for so long");
ABSL_FLAG(std::uint32_t, vms, 4, "entry VMs");
ABSL_FLAG(std::string, scenario, "", "a file with a scenario to play");
ABSL_FLAG(bool, keep_logs, false, "keep the logs of runs without a violation");
ABSL_FLAG(std::string, program, "", "the daemon");
ABSL_FLAG(std::string, folder, "", "where logs of violations are kept");
ABSL_FLAG(int, network, 200, "number of the first loopback network in use");

/// Plays scenarios of faults against real daemons, and tells what promises
/// they broke.
namespace
{

using namespace cairnhead::soak;

/// Each has an address of the run's network, after those of other parties.
constexpr std::uint32_t most_vms = 150;

constexpr int exit_violations = 1;
constexpr int exit_bad_usage = 2;

struct soak_total
{
    std::uint32_t seeds = 0;
    std::uint64_t requests = 0;
    std::uint64_t faults = 0;
    std::uint64_t violations = 0;
    std::uint32_t open_findings = 0;
};

void write_file(std::filesystem::path const& file, std::string const& text)
{
    std::ofstream(file) << text;
}

void play(scenario const& plan, soak_total& total)
{
    auto const folder = std::filesystem::path(absl::GetFlag(FLAGS_folder)) /
                        ("seed-" + std::to_string(plan.seed));
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    write_file(folder / "scenario.yaml", write_scenario(plan));
    // A copy: VMs that start while the program is built anew would fail.
    auto const program = folder / "cairnhead";
    std::filesystem::copy_file(absl::GetFlag(FLAGS_program), program);
    soak_run run(plan, {program, folder, absl::GetFlag(FLAGS_network)});
    run.play(
        [&plan](std::string const& what)
        {
            std::cerr << "seed=" << plan.seed << " fault=" << what << '\n';
        });
    soak_record const& seen = run.record();
    std::string lines;
    for (std::string const& line : seen.lines())
        lines += line + '\n';
    write_file(folder / "violations.log", lines);
    std::filesystem::remove(program);
    std::cout << "seed=" << plan.seed << " requests=" << seen.requests()
              << " answered="
              << seen.ended(cairnhead::emulator::request_end::answered)
              << " faults=" << plan.faults.size()
              << " violations=" << seen.violations() << '\n'
              << lines << std::flush;
    ++total.seeds;
    total.requests += seen.requests();
    total.faults += plan.faults.size();
    total.violations += seen.violations();
    if (seen.violations() > 0)
        ++total.open_findings;
    bool const is_kept =
        seen.violations() > 0 || absl::GetFlag(FLAGS_keep_logs);
    if (!is_kept)
        std::filesystem::remove_all(folder);
}

void play_all(soak_total& total)
{
    if (!absl::GetFlag(FLAGS_scenario).empty())
        return play(read_scenario(absl::GetFlag(FLAGS_scenario)), total);
    auto const end = std::chrono::steady_clock::now() +
                     std::chrono::minutes(absl::GetFlag(FLAGS_minutes));
    std::uint64_t seed = absl::GetFlag(FLAGS_seed);
    for (auto left = absl::GetFlag(FLAGS_seeds);
         left > 0 || std::chrono::steady_clock::now() < end;
         left -= left > 0 ? 1 : 0)
        play(draw_scenario(seed++, absl::GetFlag(FLAGS_vms)), total);
}

} // namespace

int main(int argument_count, char** arguments)
{
    absl::SetProgramUsageMessage(
        "plays scenarios of faults against real daemons");
    absl::ParseCommandLine(argument_count, arguments);
    bool const is_complete = !absl::GetFlag(FLAGS_program).empty() &&
                             !absl::GetFlag(FLAGS_folder).empty() &&
                             absl::GetFlag(FLAGS_vms) > 0 &&
                             absl::GetFlag(FLAGS_vms) <= most_vms;
    if (!is_complete)
    {
        std::cerr << "error: --program and --folder are needed, and --vms from "
                     "1 to "
                  << most_vms << '\n';
        return exit_bad_usage;
    }
    soak_total total;
    try
    {
        play_all(total);
    }
    catch (std::exception const& failure)
    {
        std::cerr << "error: " << failure.what() << '\n';
        return exit_bad_usage;
    }
    std::cout << "seeds=" << total.seeds << " requests=" << total.requests
              << " faults=" << total.faults
              << " violations=" << total.violations
              << " open_findings=" << total.open_findings << '\n';
    return total.violations == 0 ? 0 : exit_violations;
}
