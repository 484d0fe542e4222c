#pragma once

#include <base/fixed_list.hpp>
#include <protocol/pin_claim.hpp>

#include <cstdint>
#include <optional>

namespace cairnhead
{

/// Why one VM hands a caller's packet to another.
enum class frame_role : std::uint8_t
{
    /// The sender has no pin, and believes that the receiver owns the flow.
    to_owner = 0,
    /// The pin rides along: store it as backup, then send to its upstream.
    store_backup = 1,
    /// The owner has no pin: the receiver may hold it from before.
    second_chance = 2,
    /// The pin was found: the receiver takes it over as the owner.
    adopt = 3,
    /// Nobody asked has the pin: the owner decides without asking again.
    exhausted = 4,
};

/// How many VMs a packet may visit before the owner must decide without a
/// pin. Bounds the cost of a packet that nobody knows.
inline constexpr std::size_t maximum_visited_vms = 6;

/// What travels in front of a caller's packet between two VMs.
struct peer_frame
{
    vm_id sender;
    frame_role role = frame_role::to_owner;
    /// Present for `store_backup` and `adopt`.
    std::optional<pin_claim> claim;
    /// VMs that had no pin for this packet, in the order asked.
    fixed_list<vm_id, maximum_visited_vms> visited;

    bool operator==(peer_frame const&) const = default;
};

} // namespace cairnhead
