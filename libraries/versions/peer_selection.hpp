#pragma once

#include <event/settings.hpp>
#include <versions/backoff.hpp>
#include <versions/document_peer.hpp>

#include <cstdint>
#include <span>
#include <vector>

namespace cairnhead
{

/// The rank by which the VMs of a failure domain become readers (rendezvous
/// hashing): the highest ranks read, and no two are equal. All VMs compute the
/// same ranks without a message.
struct reader_rank
{
    std::uint64_t hash = 0;
    vm_id vm;

    reader_rank(failure_domain_id domain, vm_id ranked);

    /// Whether this rank is the higher one. No precondition. Thread safety: no
    /// shared state.
    [[nodiscard]] bool is_above(reader_rank const& other) const;
};

/// Chooses random peers to announce new documents to: first one of each other
/// failure domain, then any. If only peers of the own failure domain were
/// chosen, a change would leave the domain later. No precondition. Thread
/// safety: no shared state.
[[nodiscard]] std::vector<vm_id> choose_announce_targets(
    vm_identity const& self,
    std::span<document_peer const> peers,
    std::uint32_t count,
    version_random& random);

} // namespace cairnhead
