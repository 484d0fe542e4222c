#include <versions/relay_tree.hpp>

#include <algorithm>

namespace cairnhead
{

namespace
{

/// The VMs of the own domain that this VM knows and the origin, sorted by id
/// and rotated so that the origin is the first.
std::vector<vm_id> order_domain(
    vm_identity const& self, std::span<document_peer const> peers, vm_id origin)
{
    std::vector<vm_id> order{self.id, origin};
    for (document_peer const& peer : peers)
    {
        if (peer.domain == self.domain)
            order.push_back(peer.id);
    }
    std::ranges::sort(order);
    order.erase(std::unique(order.begin(), order.end()), order.end());
    std::rotate(order.begin(), std::ranges::find(order, origin), order.end());
    return order;
}

} // namespace

std::vector<vm_id> relay_targets(
    vm_identity const& self,
    std::span<document_peer const> peers,
    vm_id origin,
    std::size_t fanout)
{
    auto const order = order_domain(self, peers, origin);
    auto const own = std::ranges::find(order, self.id);
    auto const position = static_cast<std::size_t>(own - order.begin());
    std::size_t const first_child = position * fanout + 1;
    std::vector<vm_id> targets;
    for (std::size_t next = first_child;
         next < first_child + fanout && next < order.size(); ++next)
        targets.push_back(order[next]);
    return targets;
}

} // namespace cairnhead
