#include "lwip_stack.hpp"

#include <algorithm>
#include <cstdlib>
#include <random>
#include <stdexcept>

#include <lwip/init.h>
#include <lwip/ip.h>
#include <lwip/priv/tcp_priv.h>
#include <lwip/timeouts.h>

namespace cairnhead::standins
{
namespace
{

/// Leaves room for GUE, UDP and the outer IPv4 header in an Ethernet frame.
constexpr std::uint16_t inner_mtu = 1'400;
constexpr std::size_t largest_batch = 256;
constexpr std::chrono::milliseconds longest_wait{250};

struct interface_error : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

} // namespace

ip_addr_t to_lwip(std::uint32_t address)
{
    ip_addr_t converted = IPADDR4_INIT(lwip_htonl(address));
    return converted;
}

lwip_stack::lwip_stack(
    socket_address local, socket_address fabric_address, std::uint64_t seed)
    : socket(local), fabric(fabric_address)
{
    std::mt19937_64 random{seed};
    std::srand(static_cast<unsigned>(random()));
    lwip_init();
    // lwIP's initial sequence numbers start at a constant and grow by its
    // tick count. Two upstreams that got the same SYN would choose nearly the
    // same one, and the caller's ACK would establish both. A far tick count
    // sets them apart, as it is between hosts that follow RFC 6528.
    tcp_ticks = static_cast<std::uint32_t>(random());
}

void lwip_stack::add_address(std::uint32_t address)
{
    auto const own = to_lwip(address);
    auto const mask = to_lwip(UINT32_MAX);
    auto const gateway = to_lwip(0);
    auto& interface = this->interfaces.emplace_back();
    if (netif_add(
            &interface, ip_2_ip4(&own), ip_2_ip4(&mask), ip_2_ip4(&gateway),
            this, attach, ip_input) == nullptr)
    {
        throw interface_error{format_address(address)};
    }
    netif_set_link_up(&interface);
    netif_set_up(&interface);
    netif_set_default(&interface);
}

void lwip_stack::set_timer(time_point deadline, std::uint64_t key)
{
    this->timers.emplace(deadline, key);
}

void lwip_stack::run(
    termination_signal const& termination, stack_handlers const& handlers)
{
    while (!handlers.finished() &&
           termination.wait(this->socket.descriptor(), this->wake_time()))
    {
        this->take_batch(handlers);
        sys_check_timeouts();
        this->fire_timers(handlers);
    }
}

err_t lwip_stack::attach(netif* interface)
{
    interface->name[0] = 'g';
    interface->name[1] = 'u';
    interface->mtu = inner_mtu;
    interface->output = output;
    return ERR_OK;
}

err_t lwip_stack::output(
    netif* interface, pbuf* packet, ip4_addr_t const* /*next_hop*/)
{
    auto& stack = *static_cast<lwip_stack*>(interface->state);
    auto& bytes = stack.encapsulated;
    bytes.resize(gue_header.size() + packet->tot_len);
    std::ranges::copy(gue_header, bytes.begin());
    pbuf_copy_partial(
        packet, bytes.data() + gue_header.size(), packet->tot_len, 0);
    return stack.socket.send(stack.fabric, bytes) ? ERR_OK : ERR_BUF;
}

time_point lwip_stack::wake_time() const
{
    auto const limit = std::chrono::milliseconds{sys_timeouts_sleeptime()};
    auto const wake = clock::now() + std::min(limit, longest_wait);
    return this->timers.empty() ? wake
                                : std::min(wake, this->timers.begin()->first);
}

void lwip_stack::take_batch(stack_handlers const& handlers)
{
    for (std::size_t taken = 0; taken < largest_batch; ++taken)
    {
        auto const received = this->socket.receive();
        if (!received)
        {
            return;
        }
        auto const packet = read_gue(received->bytes);
        if (!packet)
        {
            this->malformed += 1;
            continue;
        }
        if (!handlers.admit(*packet))
        {
            continue;
        }
        this->take(*packet);
    }
}

void lwip_stack::take(std::span<std::uint8_t const> packet)
{
    auto const size = static_cast<std::uint16_t>(packet.size());
    auto* const buffer = pbuf_alloc(PBUF_RAW, size, PBUF_RAM);
    if (buffer == nullptr)
    {
        return;
    }
    pbuf_take(buffer, packet.data(), size);
    if (ip_input(buffer, &this->interfaces.front()) != ERR_OK)
    {
        pbuf_free(buffer);
    }
}

void lwip_stack::fire_timers(stack_handlers const& handlers)
{
    auto const now = clock::now();
    while (!this->timers.empty() && this->timers.begin()->first <= now)
    {
        // The timer goes first: what it fires may set others.
        auto const due = this->timers.extract(this->timers.begin());
        handlers.fire(due.mapped());
    }
}

} // namespace cairnhead::standins
