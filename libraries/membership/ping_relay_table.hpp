#pragma once

#include <base/identifiers.hpp>
#include <base/time.hpp>

#include <cstdint>
#include <deque>
#include <optional>

namespace cairnhead
{

/// A ping that this VM sent in another's place.
struct ping_relay
{
    std::uint32_t sequence = 0;
    vm_id target;
    vm_id requester;
    std::uint32_t requester_sequence = 0;
    time_point deadline;
};

/// The relayed pings that may still be answered. Few: a VM is asked to help
/// only while probes fail. Thread safety of all methods: none.
class ping_relay_table
{
public:
    /// Remembers a relayed ping; forgets the oldest when there are too many.
    /// Precondition: deadlines come in order.
    void add(ping_relay const& relay);

    /// Takes the relay that an answer belongs to. No precondition.
    [[nodiscard]] std::optional<ping_relay>
    take(std::uint32_t sequence, vm_id target);

    /// Forgets relays whose requester no longer waits. No precondition.
    void drop_expired(time_point now);

    /// Forgets all. No precondition.
    void clear();

private:
    std::deque<ping_relay> relays;
};

} // namespace cairnhead
