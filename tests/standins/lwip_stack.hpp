#pragma once

#include "network.hpp"
#include "termination.hpp"

#include <functional>
#include <list>
#include <map>

#include <lwip/netif.h>

/// lwIP as the TCP stack of upstreams and callers. It runs in one thread
/// without lwIP's own one, so its core lock is never needed and all timers
/// fire when they are due.
namespace cairnhead::standins
{

/// Host byte order to lwIP's address.
[[nodiscard]] ip_addr_t to_lwip(std::uint32_t address);

/// What the owner of a stack decides.
struct stack_handlers
{
    /// False drops the packet before lwIP sees it.
    std::function<bool(std::span<std::uint8_t const> packet)> admit;
    /// A timer set with `set_timer` is due.
    std::function<void(std::uint64_t key)> fire;
    /// True ends `run`.
    std::function<bool()> finished;
};

/// An IPv4 host whose packets travel in GUE to and from the fabric. One per
/// process, because lwIP's state is global. Thread safety: one thread.
class lwip_stack
{
public:
    /// Precondition: no other stack in this process. The seed decides initial
    /// sequence numbers.
    lwip_stack(socket_address local, socket_address fabric, std::uint64_t seed);
    lwip_stack(lwip_stack const&) = delete;
    lwip_stack& operator=(lwip_stack const&) = delete;

    /// Makes the stack accept packets to `address` (host byte order).
    void add_address(std::uint32_t address);

    /// Has `fire` called with `key` once the deadline has passed.
    void set_timer(time_point deadline, std::uint64_t key);

    /// Handles packets and timers until finished or told to end.
    void
    run(termination_signal const& termination, stack_handlers const& handlers);

    [[nodiscard]] std::uint64_t malformed_datagrams() const
    {
        return this->malformed;
    }

private:
    static err_t attach(netif* interface);
    static err_t
    output(netif* interface, pbuf* packet, ip4_addr_t const* next_hop);

    [[nodiscard]] time_point wake_time() const;
    void take_batch(stack_handlers const& handlers);
    void take(std::span<std::uint8_t const> packet);
    void fire_timers(stack_handlers const& handlers);

    udp_socket socket;
    socket_address fabric;
    std::list<netif> interfaces;
    std::multimap<time_point, std::uint64_t> timers;
    std::vector<std::uint8_t> encapsulated;
    std::uint64_t malformed = 0;
};

} // namespace cairnhead::standins
