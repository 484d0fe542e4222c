#pragma once

#include <emulator/topology.hpp>

#include <base/time.hpp>

#include <cstdint>
#include <set>
#include <vector>

namespace cairnhead::emulator
{

/// What lies between VMs: cuts of failure domains and regions, and the rate of
/// each VM's link. Delays are in `layout`.
/// Thread safety of all methods: none.
class vm_network
{
public:
    /// Precondition: the layout outlives the object.
    explicit vm_network(layout const& place);

    /// Cuts a failure domain, or a region, off from all others, or mends it.
    /// No precondition.
    void set_domain_cut(std::uint32_t domain, bool is_cut);
    void set_region_cut(std::uint32_t region, bool is_cut);

    /// Whether packets pass between two failure domains. No precondition.
    [[nodiscard]] bool
    are_connected(std::uint32_t from, std::uint32_t to) const;

    /// Whether packets pass between a failure domain and the platform, which
    /// stands in none. No precondition.
    [[nodiscard]] bool reaches_platform(std::uint32_t domain) const;

    /// Takes a VM's link for so many bytes, after what waits there; gives when
    /// they have left. Precondition: the layout has the VM.
    [[nodiscard]] time_point
    send(time_point now, std::uint32_t vm, std::size_t bytes);

private:
    layout const& where;
    std::set<std::uint32_t> cut_domains;
    std::set<std::uint32_t> cut_regions;
    std::vector<time_point> links_free_at;
};

} // namespace cairnhead::emulator
