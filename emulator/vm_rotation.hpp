#pragma once

#include <emulator/emulated_fleet.hpp>

#include <absl/container/flat_hash_map.h>
#include <optional>
#include <vector>

namespace cairnhead::emulator
{

/// How the fabric chooses a VM for a flow's packet.
enum class flow_spread : std::uint8_t
{
    /// By a hash of the flow; where VMs come and go, only their flows move.
    steady,
    /// By the flow's hash modulo the number of VMs: nearly all flows move
    /// whenever one comes or goes.
    modulo,
    /// Anew for each packet.
    each_packet,
};

/// Which VMs the fabric uses. It asks each VM twice a second whether it is
/// ready; one that missed two answers gets nothing until it is ready again.
/// Callers are served by VMs of their own failure domain, as far as any of them
/// is in use. Thread safety of all methods: none.
class vm_rotation
{
public:
    /// Precondition: the fleet outlives the object.
    vm_rotation(emulated_fleet& around, flow_spread chosen);

    /// The VM for a packet of a caller in the failure domain, if any is to be
    /// had. Precondition: the draw is random.
    [[nodiscard]] std::optional<std::uint32_t>
    choose(std::uint32_t domain, std::uint64_t flow, std::uint64_t draw) const;

private:
    void ask();
    void use_ready_ones();

    emulated_fleet& fleet;
    flow_spread spread;
    std::vector<std::uint32_t> misses;
    /// Of each failure domain, in use now.
    std::vector<std::vector<std::uint32_t>> in_use;
};

} // namespace cairnhead::emulator
