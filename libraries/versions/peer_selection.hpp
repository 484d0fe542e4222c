#pragma once

#include <event/settings.hpp>
#include <versions/backoff.hpp>
#include <versions/document_peer.hpp>

#include <cstdint>
#include <span>
#include <vector>

namespace cairnhead
{

/// Whether this VM is one of the `readers` VMs of its failure domain that
/// watch the platform: those that hash highest among the reachable ones. All
/// VMs of a failure domain that see the same peers agree without a message.
/// No precondition. Thread safety: no shared state.
[[nodiscard]] bool is_elected_reader(
    vm_identity const& self,
    std::span<document_peer const> peers,
    std::uint32_t readers);

/// Random peers to tell of new documents: first one of each other failure
/// domain, then any. Peers of the own failure domain alone would keep a
/// change inside it for longer. No precondition. Thread safety: no shared
/// state.
[[nodiscard]] std::vector<vm_id> choose_announce_targets(
    vm_identity const& self,
    std::span<document_peer const> peers,
    std::uint32_t count,
    version_random& random);

} // namespace cairnhead
