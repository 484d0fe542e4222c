#pragma once

#include <event/settings.hpp>
#include <versions/backoff.hpp>
#include <versions/document_peer.hpp>

#include <cstdint>
#include <span>
#include <vector>

namespace cairnhead
{

/// Where a VM stands among the readers of its failure domain: the highest come
/// first, and no two are equal. All VMs agree on it without a message.
struct reader_rank
{
    std::uint64_t hash = 0;
    vm_id vm;

    reader_rank(failure_domain_id domain, vm_id ranked);

    /// No precondition. Thread safety: no shared state.
    [[nodiscard]] bool is_above(reader_rank const& other) const;
};

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
