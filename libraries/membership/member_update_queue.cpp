#include <membership/member_update_queue.hpp>

#include <algorithm>

namespace cairnhead
{

void member_update_queue::push(member_update const& claim)
{
    ++this->last_ticket;
    this->held[claim.vm] = {claim, this->last_ticket};
    this->put({claim.vm, this->last_ticket}, 0);
}

void member_update_queue::take(
    std::size_t room,
    std::size_t transmission_limit,
    std::vector<member_update>& claims)
{
    struct sent_place
    {
        place item;
        std::size_t transmissions;
    };
    std::vector<sent_place> sent;
    for (std::size_t count = 0; count < this->by_transmissions.size(); ++count)
    {
        auto& level = this->by_transmissions[count];
        while (sent.size() < room && !level.empty())
        {
            place const item = level.back();
            level.pop_back();
            held_claim const* current = this->find_current(item);
            if (current == nullptr)
                continue;
            claims.push_back(current->claim);
            sent.push_back({item, count + 1});
        }
    }
    // Put back only now, so that no claim rides twice on one message.
    std::ranges::reverse(sent);
    for (auto const& [item, transmissions] : sent)
    {
        if (transmissions < transmission_limit)
            this->put(item, transmissions);
        else
            this->held.erase(item.vm);
    }
}

void member_update_queue::clear()
{
    this->held.clear();
    this->by_transmissions.clear();
}

member_update_queue::held_claim const*
member_update_queue::find_current(place const& candidate) const
{
    auto const found = this->held.find(candidate.vm);
    if (found == this->held.end())
        return nullptr;
    return found->second.ticket == candidate.ticket ? &found->second : nullptr;
}

void member_update_queue::put(place const& item, std::size_t transmissions)
{
    if (this->by_transmissions.size() <= transmissions)
        this->by_transmissions.resize(transmissions + 1);
    this->by_transmissions[transmissions].push_back(item);
}

} // namespace cairnhead
