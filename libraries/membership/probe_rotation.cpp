#include <membership/probe_rotation.hpp>

#include <algorithm>

namespace cairnhead
{

std::size_t random_below(std::size_t bound, std::mt19937_64& random)
{
    // Not a standard distribution: those differ between implementations, and
    // the same seed must give the same decisions everywhere.
    return static_cast<std::size_t>(random() % bound);
}

void probe_rotation::add(vm_id peer, std::mt19937_64& random)
{
    // A peer that died and came back within a round still has its place.
    auto const rest = this->order.begin() + this->position;
    if (std::find(rest, this->order.end(), peer) != this->order.end())
        return;
    std::size_t const places = this->order.size() - this->position + 1;
    this->order.insert(rest + random_below(places, random), peer);
}

std::optional<vm_id> probe_rotation::next(
    member_table const& members, vm_id self, std::mt19937_64& random)
{
    if (members.live_count() <= 1)
        return std::nullopt;
    if (auto const peer = this->next_of_round(members))
        return peer;
    this->begin_round(members, self, random);
    return this->next_of_round(members);
}

std::vector<vm_id> probe_rotation::sample(
    std::size_t count,
    vm_id excluded,
    member_table const& members,
    std::mt19937_64& random) const
{
    std::vector<vm_id> chosen;
    if (this->order.empty())
        return chosen;
    std::size_t const start = random_below(this->order.size(), random);
    for (std::size_t step = 0; step < this->order.size(); ++step)
    {
        if (chosen.size() == count)
            break;
        vm_id const peer = this->order[(start + step) % this->order.size()];
        if (peer == excluded || std::ranges::count(chosen, peer) > 0)
            continue;
        member const* known = members.find(peer);
        if (known != nullptr && is_reachable_status(known->status))
            chosen.push_back(peer);
    }
    return chosen;
}

void probe_rotation::begin_round(
    member_table const& members, vm_id self, std::mt19937_64& random)
{
    this->order.clear();
    this->position = 0;
    for (member const& known : members.all())
    {
        if (known.id == self || !is_live_status(known.status))
            continue;
        this->order.push_back(known.id);
    }
    for (std::size_t left = this->order.size(); left > 1; --left)
        std::swap(
            this->order[left - 1], this->order[random_below(left, random)]);
}

std::optional<vm_id> probe_rotation::next_of_round(member_table const& members)
{
    while (this->position < this->order.size())
    {
        vm_id const peer = this->order[this->position];
        ++this->position;
        member const* known = members.find(peer);
        if (known != nullptr && is_live_status(known->status))
            return peer;
    }
    return std::nullopt;
}

} // namespace cairnhead
