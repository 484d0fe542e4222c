#include <versions/peer_selection.hpp>

#include <base/hash.hpp>

#include <absl/container/flat_hash_set.h>
#include <algorithm>

namespace cairnhead
{

reader_rank::reader_rank(failure_domain_id domain, vm_id ranked)
    : hash(hash_pair(domain.value(), ranked.value())), vm(ranked)
{
}

bool reader_rank::is_above(reader_rank const& other) const
{
    return this->hash == other.hash ? this->vm > other.vm
                                    : this->hash > other.hash;
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
