#pragma once

#include <protocol/member_update.hpp>

#include <absl/container/flat_hash_map.h>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace cairnhead
{

/// The claims that still ride on this VM's messages. Each is sent a bounded
/// number of times, the least sent first and among those the newest first, so
/// that news overtakes what most VMs have heard. One claim per VM.
/// Thread safety of all methods: none.
class member_update_queue
{
public:
    /// Starts to spread a claim in place of any earlier one about its VM.
    /// No precondition.
    void push(member_update const& claim);

    /// Appends up to `room` claims and counts one transmission of each; one
    /// that has been sent `transmission_limit` times is forgotten.
    /// Precondition: `transmission_limit` is at least one.
    void take(
        std::size_t room,
        std::size_t transmission_limit,
        std::vector<member_update>& claims);

    /// Spreads nothing any more. No precondition.
    void clear();

private:
    /// A claim that was replaced keeps its place until it is met; its ticket
    /// then differs from the held one.
    struct place
    {
        vm_id vm;
        std::uint64_t ticket = 0;
    };

    struct held_claim
    {
        member_update claim;
        std::uint64_t ticket = 0;
    };

    [[nodiscard]] held_claim const* find_current(place const& candidate) const;
    void put(place const& item, std::size_t transmissions);

    absl::flat_hash_map<vm_id, held_claim> held;
    /// Indexed by the number of transmissions; the newest is at the back.
    std::vector<std::vector<place>> by_transmissions;
    std::uint64_t last_ticket = 0;
};

} // namespace cairnhead
