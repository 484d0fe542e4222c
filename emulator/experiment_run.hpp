#pragma once

#include <emulator/emulated_fleet.hpp>
#include <emulator/experiment.hpp>

#include <cstdint>
#include <string>

namespace cairnhead::emulator
{

/// The figures of one experiment at one size.
struct run_result
{
    std::string experiment;
    std::uint32_t vms = 0;
    /// Sent and received by a VM in a second, in the mean and at most.
    double mean_bytes_per_second = 0;
    double busiest_bytes_per_second = 0;
    /// Of these, sent to other failure domains, in the mean.
    double between_domains_per_second = 0;
    double datagrams_per_second = 0;
    /// Of one core, in the mean and at most.
    double mean_processor_percent = 0;
    double busiest_processor_percent = 0;
    /// All VMs together.
    double platform_calls_per_second = 0;
    /// From the start of all until the last knew the registry.
    double cold_start_milliseconds = 0;
    /// Of all changes; zero without any.
    double in_force_worst_milliseconds = 0;
    std::size_t changes = 0;
    double memory_megabytes = 0;
    std::uint64_t violations = 0;
    std::string violations_by_kind;
};

/// Runs an experiment at one size, and tells on standard error how far it has
/// come. No precondition. Thread safety: no shared state.
[[nodiscard]] run_result
run_experiment(experiment const& plan, std::uint32_t vms);

} // namespace cairnhead::emulator
