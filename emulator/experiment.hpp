#pragma once

#include <emulator/topology.hpp>

#include <cstdint>
#include <exception>
#include <filesystem>
#include <string>
#include <vector>

namespace cairnhead::emulator
{

/// What happens to a fleet in an experiment.
enum class step_kind : std::uint8_t
{
    replace_upstreams,
    change_route,
    add_routes,
    restart_vms,
    /// VMs of one failure domain at once, `count` of them.
    restart_rack,
    restart_all,
    cut_domain,
    cut_region,
    platform_down,
};

/// One line of an experiment's steps.
struct experiment_step
{
    step_kind kind = step_kind::change_route;
    /// From the moment from which on is measured.
    duration at{};
    /// Again and again until the end; zero for once.
    duration every{};
    std::uint32_t count = 1;
    /// Of a cut or an outage; how long VMs that restart are away.
    duration lasts = std::chrono::seconds(5);
};

/// What is run, for how long, and on how large fleets.
struct experiment
{
    std::string name;
    topology fleet;
    /// The sizes to run it at; upstreams and addresses grow with the VMs.
    std::vector<std::uint32_t> vms;
    double upstreams_per_vm = 5.5;
    double addresses_per_vm = 1.2;
    std::uint64_t seed = 1;
    /// From the start of all VMs until measuring begins.
    duration settle = std::chrono::seconds(20);
    duration length = std::chrono::seconds(30);
    std::vector<experiment_step> steps;
};

/// Thrown for a description that cannot be used; `what` names the line.
class experiment_rejected : public std::exception
{
public:
    experiment_rejected(
        std::filesystem::path const& file, int line, std::string_view reason);
    [[nodiscard]] char const* what() const noexcept override;

private:
    std::string text;
};

/// Reads a description. Throws `experiment_rejected`. Thread safety: no shared
/// state.
[[nodiscard]] experiment read_experiment(std::filesystem::path const& file);

/// The topology at one of the experiment's sizes. No precondition.
[[nodiscard]] topology topology_at(experiment const& plan, std::uint32_t vms);

} // namespace cairnhead::emulator
