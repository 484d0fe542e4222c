#include <emulator/experiment_run.hpp>
#include <emulator/memory_need.hpp>
#include <emulator/plot.hpp>
#include <emulator/result_table.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <string>
#include <vector>

ABSL_FLAG(
    std::vector<std::string>,
    vms,
    {},
    "sizes of fleets in place of those that the experiments name");
ABSL_FLAG(
    std::string, plots, "", "file for plots of all experiments, a PNG picture");
ABSL_FLAG(std::string, csv, "", "file for the table as comma separated values");
ABSL_FLAG(
    std::uint64_t, seed, 0, "seed in place of those that experiments name");

/// Runs experiments on emulated fleets, and prints what control costs there.
namespace
{

using namespace cairnhead::emulator;

constexpr double bytes_target = 12'000;
constexpr double processor_target = 3.7;
constexpr double in_force_target = 7'000;

constexpr int exit_bad_usage = 2;
constexpr int exit_violations = 1;

/// What the last line tells of idle fleets and of fleets with changes.
constexpr std::string_view idle_experiment = "idle";
constexpr std::string_view change_experiment = "changes";

void choose_sizes(experiment& plan)
{
    auto const chosen = absl::GetFlag(FLAGS_vms);
    if (!chosen.empty())
        plan.vms.clear();
    for (std::string const& size : chosen)
        plan.vms.push_back(static_cast<std::uint32_t>(std::stoul(size)));
    if (absl::GetFlag(FLAGS_seed) != 0)
        plan.seed = absl::GetFlag(FLAGS_seed);
}

plot make_plot(
    std::vector<run_result> const& results,
    char const* title,
    double bound,
    std::function<double(run_result const&)> const& value)
{
    plot made{title, "VMs", "", bound, {}};
    std::map<std::string, plot_line> lines;
    for (run_result const& one : results)
    {
        plot_line& line = lines[one.experiment];
        line.name = one.experiment;
        line.points.push_back({static_cast<double>(one.vms), value(one)});
    }
    for (auto& [name, line] : lines)
        made.lines.push_back(std::move(line));
    return made;
}

void draw(std::vector<run_result> const& results, std::string const& file)
{
    std::vector<plot> const plots{
        make_plot(
            results, "Control bytes a second of a VM, mean", bytes_target,
            &run_result::mean_bytes_per_second),
        make_plot(
            results, "Control bytes a second of the busiest VM", bytes_target,
            &run_result::busiest_bytes_per_second),
        make_plot(
            results, "Processor for control, percent of a core, mean",
            processor_target, &run_result::mean_processor_percent),
        make_plot(
            results, "Worst time until a change is in force, ms",
            in_force_target, &run_result::in_force_worst_milliseconds),
        make_plot(
            results, "Start of all VMs, ms", 0,
            &run_result::cold_start_milliseconds)};
    write_plots(plots, file);
}

/// The figures of the largest fleet.
void print_summary(std::vector<run_result> const& results)
{
    auto const largest =
        std::ranges::max_element(results, {}, &run_result::vms)->vms;
    run_result idle;
    run_result changes;
    double cold_start = 0;
    double in_force = 0;
    double memory = 0;
    std::uint64_t violations = 0;
    for (run_result const& one : results)
    {
        violations += one.violations;
        if (one.vms != largest)
            continue;
        if (one.experiment == idle_experiment)
            idle = one;
        if (one.experiment == change_experiment)
            changes = one;
        cold_start = std::max(cold_start, one.cold_start_milliseconds);
        in_force = std::max(in_force, one.in_force_worst_milliseconds);
        memory = std::max(memory, one.memory_megabytes);
    }
    constexpr double thousand = 1'000;
    std::cout << std::defaultfloat << std::setprecision(4) << "vms=" << largest
              << " idle_bytes_per_s=" << idle.mean_bytes_per_second
              << " change_bytes_per_s=" << changes.mean_bytes_per_second
              << " cold_start_s=" << cold_start / thousand
              << " in_force_max_ms=" << in_force
              << " cpu_percent=" << changes.mean_processor_percent
              << " memory_mb=" << memory << " violations=" << violations
              << '\n';
}

/// Whether the machine has room for the fleet; tells of those that it has not.
bool has_room(experiment const& plan, std::uint32_t vms)
{
    auto const needed = memory_needed(plan, vms);
    if (needed <= memory_allowed())
        return true;
    constexpr std::uint64_t megabyte = 1'000'000;
    std::cerr << "experiment=" << plan.name << " vms=" << vms
              << " left_out=memory needed_mb=" << needed / megabyte
              << " allowed_mb=" << memory_allowed() / megabyte << '\n';
    return false;
}

int run(std::vector<char*> const& files)
{
    std::vector<run_result> results;
    for (char const* const file : files)
    {
        experiment plan = read_experiment(file);
        choose_sizes(plan);
        for (std::uint32_t const size : plan.vms)
        {
            if (has_room(plan, size))
                results.push_back(run_experiment(plan, size));
        }
    }
    print_table(results, std::cout);
    if (auto const file = absl::GetFlag(FLAGS_csv); !file.empty())
    {
        std::ofstream out(file);
        write_csv(results, out);
    }
    if (auto const file = absl::GetFlag(FLAGS_plots); !file.empty())
        draw(results, file);
    print_summary(results);
    bool const is_clean = std::ranges::all_of(
        results,
        [](run_result const& one)
        {
            return one.violations == 0;
        });
    return is_clean ? 0 : exit_violations;
}

} // namespace

int main(int count, char** arguments)
{
    absl::SetProgramUsageMessage(
        "Runs experiments on emulated fleets: cairnhead-emulator FILE.yaml...");
    auto files = absl::ParseCommandLine(count, arguments);
    files.erase(files.begin());
    if (files.empty())
    {
        std::cerr << "cairnhead-emulator: no experiment was named\n";
        return exit_bad_usage;
    }
    try
    {
        return run(files);
    }
    catch (std::exception const& failure)
    {
        std::cerr << "cairnhead-emulator: " << failure.what() << '\n';
        return exit_bad_usage;
    }
}
