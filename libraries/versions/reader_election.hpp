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

/// Elects the VMs of a failure domain that read the platform.
///
/// The elected readers are the VMs with the highest ranks (rendezvous hashing
/// of the VM's id with its domain). A reader sends a heartbeat after each call
/// that the platform answered. Candidates that receive no heartbeat for a while
/// take over, each at its own turn. The first round is a quick search for a VM
/// that the platform serves: the turns follow by rank, counted from the last
/// heartbeat. From then on the turn rotates slowly until the platform answers
/// a VM: each caller announces its call, the next VM by rank calls half a
/// second later, and if that VM announces nothing, the one after it calls at
/// once. A turn does not depend on how the calls before it end. So neither a
/// call that hangs nor a VM that has stopped delays the others, the platform
/// receives calls at an even rate however many VMs wait for it, and it is
/// called soon after it has recovered.
///
/// A VM that becomes one of the elected readers takes over from the current
/// reader as soon as it receives that reader's heartbeat, and the current
/// reader stops when it receives a heartbeat of the new one. So the platform is
/// read without a gap, and the new reader receives what it needs to continue
/// with the heartbeat.
///
/// Load pattern: most VMs of every failure domain are paused, lose power, are
/// cut off, or are refused by a platform that serves the rest. An election by
/// membership cannot see a refusal, and it sees the other cases only after
/// seconds; without a takeover, changes that are published meanwhile reach no
/// VM.
/// Second load pattern: the platform is silent or down for all. VMs that back
/// off together synchronise, and none calls the platform during their common
/// pause.
/// Third load pattern: all VMs of a failure domain start, or restart in turn.
/// Each knows no other VM at first, and would read the platform in place of all
/// others.
///
/// No method has a precondition unless its comment states one; none is
/// thread-safe.
class reader_election
{
public:
    /// Precondition: `readers_per_domain` is above zero.
    reader_election(version_settings const& settings, vm_identity const& self);

    /// Sets the peers that are reachable now, without this VM.
    void set_peers(time_point now, std::span<document_peer const> peers);

    /// This VM starts to read without being elected, because it joins. It
    /// continues to read for its failure domain until it receives a heartbeat
    /// of a VM with a higher rank.
    void begin();

    /// This VM received a heartbeat: the platform answered the reader.
    void receive_heartbeat(time_point now, vm_id reader);

    /// This VM received an announcement: the caller calls the platform, because
    /// it received no heartbeat for a while.
    void receive_attempt(time_point now, vm_id caller);

    /// The platform answered this VM. Returns the VMs that a heartbeat is to be
    /// sent to; none if no heartbeat is due.
    [[nodiscard]] std::vector<vm_id> answered(time_point now);

    /// The platform did not answer this VM.
    void failed(time_point now);

    /// Whether this VM has one of the highest ranks, those of the readers.
    [[nodiscard]] bool is_elected() const;

    /// Whether this VM reads the platform for its failure domain.
    [[nodiscard]] bool is_reading(time_point now) const;

    /// The turn of this VM, if it is due: the VM calls the platform now, even
    /// if its previous call is still in progress.
    struct turn
    {
        /// The VMs that the call is to be announced to; none during the search,
        /// because every candidate knows the times of its turns.
        std::span<vm_id const> announced_to;
    };
    [[nodiscard]] std::optional<turn> take_turn(time_point now);

private:
    [[nodiscard]] bool outranks_self(vm_id other) const;
    [[nodiscard]] bool is_takeover_disabled() const;
    [[nodiscard]] bool is_candidate() const;
    [[nodiscard]] std::size_t candidate_count() const;
    [[nodiscard]] time_point first_turn() const;
    [[nodiscard]] bool is_searching(time_point now) const;
    [[nodiscard]] std::size_t turns_after(vm_id caller) const;
    [[nodiscard]] time_point
    turn_after(time_point now, std::size_t turns) const;
    [[nodiscard]] duration takeover_pause() const;

    std::size_t readers;
    duration heartbeat_timeout;
    vm_identity self;
    /// How many reachable VMs of the domain have a higher rank than this one.
    std::size_t rank = 0;
    /// The other VMs that may read, sorted by rank, highest first.
    std::vector<vm_id> other_candidates;
    /// All lower-ranked VMs; each heartbeat goes to a few of them in turn.
    std::vector<vm_id> non_candidates;
    std::size_t next_non_candidate = 0;
    /// When the search starts, unless a heartbeat arrives before.
    time_point search_starts_at;
    /// The next turn of this VM.
    time_point turn_at;
    /// This VM does not take over from a reader before this time.
    time_point no_takeover_until;
    time_point next_heartbeat_at;
    /// Whether the call of this VM's turn is still in progress.
    bool is_call_pending = false;
    /// Whether this VM reads: it joined, took over or was answered, and has
    /// neither failed nor been replaced since.
    bool is_active_reader = false;
    bool has_received_peers = false;
};

} // namespace cairnhead
