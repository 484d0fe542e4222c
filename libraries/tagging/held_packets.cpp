#include <tagging/held_packets.hpp>

#include <utility>

namespace cairnhead
{

namespace
{

/// 1.2 MiB with the longest packets.
constexpr std::size_t maximum_held_packets = 1024;

} // namespace

bool held_packets::contains(flow_id flow) const
{
    return this->flows.contains(flow);
}

bool held_packets::has_room() const
{
    return this->packet_count < maximum_held_packets;
}

void held_packets::add(packet_arrived const& packet, time_point due_at)
{
    auto const [held, is_first] = this->flows.try_emplace(packet.flow);
    if (is_first)
    {
        held->second.due_at = due_at;
        this->deadlines.push_back({due_at, packet.flow});
    }
    held_packet& copy = held->second.packets.emplace_back();
    copy.arrived = packet;
    copy.arrived.bytes = {};
    copy.bytes.assign(packet.bytes.begin(), packet.bytes.end());
    ++this->packet_count;
}

std::optional<held_flow> held_packets::take(flow_id flow)
{
    auto const found = this->flows.find(flow);
    if (found == this->flows.end())
        return std::nullopt;
    held_flow taken = std::move(found->second);
    this->flows.erase(found);
    this->packet_count -= taken.packets.size();
    this->remove_old_deadlines();
    return taken;
}

std::optional<held_flow> held_packets::take_due(time_point now)
{
    if (this->deadlines.empty() || now < this->deadlines.front().at)
        return std::nullopt;
    return this->take(this->deadlines.front().flow);
}

std::optional<time_point> held_packets::next_due() const
{
    if (this->deadlines.empty())
        return std::nullopt;
    return this->deadlines.front().at;
}

void held_packets::remove_old_deadlines()
{
    auto const is_old = [this](deadline const& each)
    {
        auto const held = this->flows.find(each.flow);
        return held == this->flows.end() || held->second.due_at != each.at;
    };
    while (!this->deadlines.empty() && is_old(this->deadlines.front()))
        this->deadlines.pop_front();
}

} // namespace cairnhead
