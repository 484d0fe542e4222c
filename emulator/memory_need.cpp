#include <emulator/memory_need.hpp>

#include <unistd.h>

namespace cairnhead::emulator
{

namespace
{

/// Of a VM without a registry.
constexpr std::uint64_t bytes_of_vm = 600'000;

/// Of one upstream at one VM, while all VMs take in whole registries at once:
/// several times of what it is at rest.
constexpr std::uint64_t bytes_of_upstream = 1'250;

} // namespace

std::uint64_t memory_needed(experiment const& plan, std::uint32_t vms)
{
    auto const upstreams = static_cast<std::uint64_t>(
        plan.upstreams_per_vm * static_cast<double>(vms));
    return vms * (bytes_of_vm + upstreams * bytes_of_upstream);
}

std::uint64_t memory_allowed()
{
    auto const pages = static_cast<std::uint64_t>(::sysconf(_SC_PHYS_PAGES));
    auto const page = static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
    return pages * page / 2;
}

} // namespace cairnhead::emulator
