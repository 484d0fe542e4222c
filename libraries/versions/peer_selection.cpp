#include <versions/peer_selection.hpp>

#include <base/hash.hpp>

#include <absl/container/flat_hash_set.h>
#include <algorithm>
#include <tuple>

namespace cairnhead
{

namespace
{

/// Order of VMs as readers of one failure domain; the id settles ties.
auto rank_reader(failure_domain_id domain, vm_id vm)
{
    return std::tuple(hash_pair(domain.value(), vm.value()), vm);
}

} // namespace

bool is_elected_reader(
    vm_identity const& self,
    std::span<document_peer const> peers,
    std::uint32_t readers)
{
    auto const own_rank = rank_reader(self.domain, self.id);
    std::uint32_t ahead = 0;
    for (auto const& peer : peers)
    {
        if (peer.domain != self.domain || peer.id == self.id)
            continue;
        if (rank_reader(peer.domain, peer.id) > own_rank)
            ++ahead;
    }
    return ahead < readers;
}

std::vector<vm_id> choose_announce_targets(
    vm_identity const& self,
    std::span<document_peer const> peers,
    std::uint32_t count,
    version_random& random)
{
    std::vector<document_peer> shuffled(peers.begin(), peers.end());
    std::ranges::shuffle(shuffled, random);
    absl::flat_hash_set<failure_domain_id> reached{self.domain};
    auto const is_first_of_domain = [&reached](document_peer const& peer)
    {
        return reached.insert(peer.domain).second;
    };
    std::stable_partition(shuffled.begin(), shuffled.end(), is_first_of_domain);

    std::vector<vm_id> targets;
    for (auto const& peer : shuffled)
    {
        if (targets.size() == count)
            break;
        targets.push_back(peer.id);
    }
    return targets;
}

} // namespace cairnhead
