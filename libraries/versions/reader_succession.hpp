#pragma once

#include <base/time.hpp>
#include <event/settings.hpp>
#include <versions/document_peer.hpp>

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace cairnhead
{

/// Which VMs of a failure domain read the platform.
///
/// The first ones by rank do (rendezvous hashing of the VM's id with its
/// domain), and tell those who come after them of each call that the platform
/// answered. Who hears of none for a while reads in their place, each a little
/// after the one before it. One that comes to be among the first takes over
/// from whoever reads as soon as it hears of it, and the other ends when it
/// hears of the new one: so no moment passes unread, and what the new one
/// needs to go on reading comes with that word.
///
/// Load that this answers: most VMs of every failure domain stand still, lose
/// power, are cut off, or are turned away by a platform that serves the rest.
/// An election by membership knows nothing of the last, and of the others only
/// after seconds; without succession, changes published meanwhile reach nobody.
/// Nothing is asked of a VM that may not answer, so a silent one costs no time.
/// And all VMs of a failure domain start, or restart in turn: each knows nobody
/// at first, and would read the platform in place of all others.
///
/// Thread safety of all methods: none.
class reader_succession
{
public:
    /// Precondition: `readers_per_domain` is above zero.
    reader_succession(
        version_settings const& settings, vm_identity const& self);

    /// Which peers are reachable now, without this VM. No precondition.
    void set_peers(time_point now, std::span<document_peer const> peers);

    /// This VM reads without being elected, since it joins. It goes on for its
    /// failure domain until it hears of one ahead. No precondition.
    void begin();

    /// A VM says that the platform answered it. No precondition.
    void heard(time_point now, vm_id reader);

    /// The platform answered this VM: whom to tell, if anybody is due to hear
    /// it. No precondition.
    [[nodiscard]] std::vector<vm_id> answered(time_point now);

    /// The platform did not answer this VM. No precondition.
    void failed(time_point now);

    /// Whether this VM is among the first. No precondition.
    [[nodiscard]] bool is_elected() const;

    /// Whether this VM reads the platform for its failure domain. No
    /// precondition.
    [[nodiscard]] bool is_reading(time_point now) const;

private:
    [[nodiscard]] bool is_ahead_of_self(vm_id other) const;
    [[nodiscard]] bool is_off() const;
    [[nodiscard]] duration pause_after_failure() const;

    std::size_t readers;
    duration patience;
    vm_identity self;
    /// How many reachable VMs of the domain come before this one.
    std::size_t rank = 0;
    /// The first ones of the others, who may succeed.
    std::vector<vm_id> listeners;
    /// All after those; a few are told each time, one after the other.
    std::vector<vm_id> bystanders;
    std::size_t next_bystander = 0;
    /// When this VM takes its place, unless it hears of a reader before.
    time_point due_at;
    time_point failed_until;
    time_point next_telling_at;
    /// Whether this VM took its place and the platform answers it.
    bool is_acting = false;
    bool has_peers = false;
    bool was_told_of_peers = false;
};

} // namespace cairnhead
