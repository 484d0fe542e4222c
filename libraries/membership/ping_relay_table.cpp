#include <membership/ping_relay_table.hpp>

#include <algorithm>
#include <cstddef>

namespace cairnhead
{

namespace
{

/// Bounds memory when many VMs ask for help at once. A forgotten relay costs
/// its requester one of several helpers.
constexpr std::size_t maximum_relays = 256;

} // namespace

void ping_relay_table::add(ping_relay const& relay)
{
    if (this->relays.size() == maximum_relays)
        this->relays.pop_front();
    this->relays.push_back(relay);
}

std::optional<ping_relay>
ping_relay_table::take(std::uint32_t sequence, vm_id target)
{
    auto const found =
        std::ranges::find(this->relays, sequence, &ping_relay::sequence);
    if (found == this->relays.end() || found->target != target)
        return std::nullopt;
    ping_relay const relay = *found;
    this->relays.erase(found);
    return relay;
}

void ping_relay_table::drop_expired(time_point now)
{
    while (!this->relays.empty() && this->relays.front().deadline <= now)
        this->relays.pop_front();
}

void ping_relay_table::clear()
{
    this->relays.clear();
}

} // namespace cairnhead
