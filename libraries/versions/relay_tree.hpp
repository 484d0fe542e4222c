#pragma once

#include <event/settings.hpp>
#include <versions/document_peer.hpp>

#include <cstddef>
#include <span>
#include <vector>

namespace cairnhead
{

/// The VMs that this VM forwards a change to: its children in the tree by which
/// a change is disseminated from its origin through the failure domain.
///
/// All VMs of the domain are in one order, starting with the origin, and form
/// a tree in which each VM has `fanout` children. VMs that see the same members
/// agree on the tree without a message, each VM receives one copy, and none
/// sends more than `fanout`. A VM that has stopped while others consider it
/// alive cuts off the branch below it, and differing member views leave some
/// VMs out: those detect that their digests differ from those of their peers.
/// Precondition: the fan-out is not zero. Thread safety: no shared state.
[[nodiscard]] std::vector<vm_id> relay_targets(
    vm_identity const& self,
    std::span<document_peer const> peers,
    vm_id origin,
    std::size_t fanout);

} // namespace cairnhead
