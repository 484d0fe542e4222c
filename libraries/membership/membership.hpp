#pragma once

#include <base/time.hpp>
#include <event/effect.hpp>
#include <event/event.hpp>
#include <event/settings.hpp>
#include <membership/contact_queue.hpp>
#include <membership/domain_contacts.hpp>
#include <membership/member.hpp>
#include <membership/member_deadline_queue.hpp>
#include <membership/member_table.hpp>
#include <membership/member_update_queue.hpp>
#include <membership/ping_relay_table.hpp>
#include <membership/probe_rotation.hpp>
#include <membership/view_refresh.hpp>

#include <absl/container/flat_hash_set.h>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace cairnhead
{

/// Which VMs of the system are there: probing in the manner of SWIM, with
/// suspicion, incarnations and claims that ride on the probes. The platform's
/// VM list is only a hint whom to probe.
///
/// Load per VM does not grow with the fleet: each probes one peer a period.
/// With the scope of a failure domain, neither does what it knows: only VMs of
/// its own domain are members, and of each other domain it has a few contacts.
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

    /// Time passed: probes, suspects, declares dead. A gap since the last
    /// tick beyond the lease is this VM's own pause and no evidence against
    /// others, so coarser ticks never find anyone dead. Precondition: started.
    void
    tick(time_point now, std::uint64_t documents_digest, effect_list& effects);

    /// Addresses where VMs may be. Precondition: started.
    void hint(time_point now, std::span<vm_id const> vms, effect_list& effects);

    /// The sender of any authenticated message is alive now, unless it is
    /// known to have left. Precondition: started.
    void heard_from(time_point now, vm_id sender);

    /// Pings a VM out of turn; its answer comes as a message like any other.
    /// No precondition.
    void ask(vm_id vm, effect_list& effects);

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

    /// Whether a peer has confirmed the view since `expire_view` or `start`.
    /// While false nothing new may be placed. A listing that names this VM's
    /// current incarnation confirms it; after `expire_view` also the answer
    /// to a ping sent since. With no peer to ask it is fresh at once; when no
    /// peer answers for the suspicion timeout and one probe period it becomes
    /// fresh too, so that a lone survivor goes on. Precondition: started.
    [[nodiscard]] bool is_view_fresh(time_point now) const;

    /// All known VMs, self included, sorted by id; dead ones too until they
    /// are forgotten. No precondition. Valid until the next non-const call.
    [[nodiscard]] std::span<member const> members() const;

    /// The member with an id, or nullptr. No precondition.
    [[nodiscard]] member const* find(vm_id id) const;

    /// The contacts in other failure domains, where the scope is the own one.
    /// No precondition. Valid until the next non-const call.
    [[nodiscard]] domain_contacts const& contacts_abroad() const;

    /// Other domains whose VMs fell silent, or were heard again, since the last
    /// call. No precondition.
    [[nodiscard]] std::vector<domain_hearing>
    take_domain_changes(time_point now);

    /// The failure domain of a member or contact. No precondition.
    [[nodiscard]] std::optional<failure_domain_id> domain_of(vm_id id) const;

    /// Changes whenever the set of alive-or-suspect members changes, a member
    /// starts to leave or is gone, or a suspicion starts or ends.
    /// No precondition.
    [[nodiscard]] std::uint64_t generation() const;

    /// Whether the VM is alive or leaving, not suspect or dead: it may be
    /// handed packets. No precondition.
    /// NOTE: A VM that answers only through helpers counts as reachable,
    /// though packets sent to it from here may be lost.
    [[nodiscard]] bool is_reachable(vm_id id) const;

    /// Whether any VM of the domain is alive (or leaving, which answers too),
    /// or none of it was ever known. No precondition.
    [[nodiscard]] bool is_domain_reachable(failure_domain_id domain) const;

private:
    /// A peer that has not answered yet, and when to try harder.
    struct outstanding_probe
    {
        std::uint32_t sequence = 0;
        vm_id target;
        /// The target's, as the probe began.
        incarnation life;
        time_point retry_deadline;
        time_point period_end;
        std::uint32_t retries = 0;
    };

    /// Where a claim comes from; that decides how far it is trusted.
    enum class claim_source : std::uint8_t
    {
        /// Decided here, or received on a ping, answer or request.
        gossip,
        /// A listing that this VM asked for because its own view is void.
        refreshing_listing,
        /// A listing exchanged with a VM that came back.
        exchanged_listing,
    };

    // Other failure domains (membership_abroad.cpp).
    [[nodiscard]] bool is_abroad(failure_domain_id domain) const;
    bool hear_from_abroad(
        time_point now, vm_id sender, std::span<member_update const> claims);
    void learn_of_abroad(member_update const& claim);
    void probe_abroad(time_point now, effect_list& effects);
    void answer_from_abroad(
        member_update const& requester, effect_list& effects) const;
    void add_introductions(std::vector<member_update>& claims);
    void
    ask_told_members(std::span<member_update const> told, effect_list& effects);
    [[nodiscard]] std::vector<member_update> contact_claims() const;

    // Claims: what is believed of whom (membership_claims.cpp).
    void apply(
        time_point now,
        member_update const& claim,
        claim_source source,
        effect_list& effects);
    void apply_all(
        time_point now,
        std::span<member_update const> claims,
        claim_source source,
        effect_list& effects);
    void adopt(
        time_point now,
        member_update const& claim,
        claim_source source,
        effect_list& effects);
    void refute(member_update const& claim);
    void store(time_point now, member_update const& claim);
    void suspect(time_point now, vm_id peer, effect_list& effects);
    void suspect_leaving(time_point now, member const& known);
    void clear_suspicion(member const& known);
    void declare_overdue_dead(time_point now, effect_list& effects);
    void forget_old_dead(time_point now);
    void drop_evidence();
    [[nodiscard]] bool is_live_member(vm_id id) const;
    [[nodiscard]] claim_source listing_source() const;

    // Probing: whom to send what (membership_probing.cpp).
    void advance_probe(time_point now, effect_list& effects);
    void begin_probe(time_point now, effect_list& effects);
    void retry_probe(time_point now, effect_list& effects);
    void ask_helpers(effect_list& effects);
    void probe_contacts(effect_list& effects);
    void probe_absent(time_point now, effect_list& effects);
    [[nodiscard]] std::optional<vm_id> next_dead();
    [[nodiscard]] std::optional<vm_id> next_unknown_address();
    std::uint32_t send_ping(vm_id target, effect_list& effects);
    void send_ping(std::uint32_t sequence, vm_id target, effect_list& effects);
    [[nodiscard]] std::vector<member_update> updates_for(vm_id recipient);

    // Listings: joining, waking and healing (membership_listing.cpp).
    void refill_listing_parts();
    void begin_refresh(
        time_point now, view_proof proof, std::vector<vm_id> candidates);
    void ask_for_listings(time_point now, effect_list& effects);
    void send_listing_request(vm_id target, effect_list& effects) const;
    void exchange_listings(time_point now, vm_id peer, effect_list& effects);
    void answer_listing(vm_id requester, effect_list& effects);
    [[nodiscard]] std::vector<member_update> own_listing(vm_id requester);
    void send_listing(
        vm_id requester,
        std::span<member_update const> claims,
        effect_list& effects) const;
    [[nodiscard]] std::vector<vm_id> refresh_candidates();
    void relay_answer(
        time_point now,
        vm_id sender,
        ping_answer const& message,
        effect_list& effects);
    [[nodiscard]] member const& own() const;

    membership_settings settings;
    vm_identity self;
    std::vector<vm_id> seeds;
    std::mt19937_64 random;

    member_table table;
    member_update_queue updates;
    probe_rotation rotation;
    ping_relay_table relays;
    contact_queue contacts;
    domain_contacts abroad;
    /// Seeds of other domains that talked to this VM: they need no search.
    absl::flat_hash_set<vm_id> seeds_abroad;
    view_refresh refresh;
    member_deadline_queue suspicions;
    member_deadline_queue dead;

    /// The latest platform list; with the seeds, the addresses where VMs may
    /// be that this VM does not know or has forgotten.
    std::vector<vm_id> hinted;
    std::size_t next_dead_index = 0;
    std::size_t next_address_index = 0;

    std::optional<outstanding_probe> probe;
    std::uint32_t next_sequence = 0;
    /// The last digest that the versions gave, for pings between ticks.
    std::uint64_t documents_digest = 0;
    time_point last_tick_at;
    time_point next_probe_at;
    time_point next_absent_probe_at;
    time_point next_contact_probe_at;
    /// Members that a listing has just told of.
    std::size_t listed_members = 0;
    /// Parts of listings that may be sent now.
    std::size_t listing_parts = 0;
    time_point next_exchange_at;
};

} // namespace cairnhead
