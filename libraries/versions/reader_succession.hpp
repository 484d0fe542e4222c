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
/// after the one before it.
///
/// Load that this answers: most VMs of every failure domain stand still, lose
/// power, are cut off, or are turned away by a platform that serves the rest.
/// An election by membership knows nothing of the last, and of the others only
/// after seconds; without succession, changes published meanwhile reach nobody.
/// Nothing is asked of a VM that may not answer, so a silent one costs no time.
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

    /// A VM says that the platform answered it. No precondition.
    void heard(time_point now, vm_id reader);

    /// The platform answered this VM: whom to tell, if anybody is due to hear
    /// it. Valid until `set_peers`. No precondition.
    [[nodiscard]] std::span<vm_id const> answered(time_point now);

    /// The platform did not answer this VM. No precondition.
    void failed(time_point now);

    /// Whether this VM is among the first. No precondition.
    [[nodiscard]] bool is_elected() const;

    /// Whether this VM reads in place of others. No precondition.
    [[nodiscard]] bool is_successor(time_point now) const;

private:
    [[nodiscard]] bool is_ahead_of_self(vm_id other) const;

    std::size_t readers;
    duration patience;
    vm_identity self;
    /// How many reachable VMs of the domain come before this one.
    std::size_t rank = 0;
    /// The first ones of the others.
    std::vector<vm_id> listeners;
    /// When this VM takes its place, unless it hears of a reader before.
    time_point due_at;
    time_point next_telling_at;
    /// Whether the platform answered this VM since it took its place.
    bool is_acting = false;
    bool has_peers = false;
};

} // namespace cairnhead
