#pragma once

#include <base/time.hpp>
#include <event/effect.hpp>
#include <event/event.hpp>
#include <event/settings.hpp>

#include <absl/container/flat_hash_map.h>
#include <random>
#include <span>
#include <vector>

namespace cairnhead
{

/// What this VM knows of one VM (itself included).
struct member
{
    vm_id id;
    failure_domain_id domain;
    incarnation life;
    member_status status = member_status::alive;
    /// For a suspect: when it becomes dead. For a dead one: when it is
    /// forgotten.
    time_point status_deadline;
};

/// Which VMs of the system are there: probing in the manner of SWIM, with
/// suspicion, incarnations and claims that ride on the probes. The platform's
/// VM list is only a hint whom to probe.
///
/// Load per VM does not grow with the fleet: each probes one peer a period.
/// Thread safety of all methods: none; one thread, the reducer's.
class membership
{
public:
    membership(
        membership_settings const& settings,
        vm_identity const& self,
        std::span<vm_id const> seeds,
        std::uint64_t random_seed);

    /// The process started with this incarnation; asks the seeds for members.
    /// Precondition: called once, before any other method.
    void start(time_point now, incarnation life, effect_list& effects);

    /// Time passed: probes, suspects, declares dead. Precondition: started.
    void
    tick(time_point now, std::uint64_t documents_digest, effect_list& effects);

    /// Addresses where VMs may be. Precondition: started.
    void hint(time_point now, std::span<vm_id const> vms, effect_list& effects);

    /// The sender of any authenticated message is alive now, unless it is
    /// known to have left. Precondition: started.
    void heard_from(time_point now, vm_id sender);

    /// Handlers of the membership messages. Precondition: started.
    void receive(
        time_point now,
        vm_id sender,
        ping const& message,
        std::uint64_t documents_digest,
        effect_list& effects);
    void receive(
        time_point now,
        vm_id sender,
        ping_answer const& message,
        effect_list& effects);
    void receive(
        time_point now,
        vm_id sender,
        ping_request const& message,
        std::uint64_t documents_digest,
        effect_list& effects);
    void receive(
        time_point now,
        vm_id sender,
        member_listing const& message,
        effect_list& effects);

    /// Announces a planned leave to several peers at once and by piggyback.
    /// Precondition: started.
    void announce_leave(time_point now, effect_list& effects);

    /// The process was paused: what it believes of others may be old. Raises
    /// the own incarnation, so that others' suspicion of it is refuted, and
    /// asks for fresh listings. Precondition: started.
    void expire_view(time_point now, effect_list& effects);

    /// Whether a peer (or, with none left, the lack of any answer for the
    /// suspicion timeout) has confirmed the view since `expire_view` or
    /// `start`. While false nothing new may be placed. Precondition: started.
    [[nodiscard]] bool is_view_fresh(time_point now) const;

    /// All known VMs, self included, sorted by id; dead ones too until they
    /// are forgotten. No precondition. Valid until the next non-const call.
    [[nodiscard]] std::span<member const> members() const;

    /// The member with an id, or nullptr. No precondition.
    [[nodiscard]] member const* find(vm_id id) const;

    /// Changes whenever the set of alive-or-suspect members changes, a member
    /// starts to leave, or a suspicion starts or ends. No precondition.
    [[nodiscard]] std::uint64_t generation() const;

    /// Whether the VM is alive or leaving, not suspect or dead: it may be
    /// handed packets. No precondition.
    [[nodiscard]] bool is_reachable(vm_id id) const;

    /// Whether any VM of the domain is alive, or none of it was ever known.
    /// No precondition.
    [[nodiscard]] bool is_domain_reachable(failure_domain_id domain) const;

private:
    membership_settings settings;
    vm_identity self;
    // The implementation adds its state here.
};

} // namespace cairnhead
