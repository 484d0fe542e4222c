#include <reducer/reducer.hpp>

#include <event/start_timeline.hpp>

#include <algorithm>

/// What follows from an event for the whole VM: whether it may place flows, and
/// what changed documents and members mean to the reducer's parts.
namespace cairnhead
{

namespace
{

/// Where the failure domain has fewer other VMs, VMs of other domains are asked
/// about flows as well.
constexpr std::size_t enough_flow_peers = 8;

} // namespace

placing_permission reducer::permission(time_point now) const
{
    if (!this->has_joined)
        return placing_permission::joining;
    if (!this->members.is_view_fresh(now))
        return this->current_permission == placing_permission::joining
                   ? placing_permission::joining
                   : placing_permission::view_expired;
    return placing_permission::allowed;
}

void reducer::notice_pause(time_point now, effect_list& out)
{
    bool const was_paused = this->has_joined && now > this->lease_ends_at;
    this->lease_ends_at = now + this->settings.membership.lease;
    if (!was_paused)
        return;
    // While this process slept the others may have declared it dead, owned
    // its flows and applied new declarations. A SYN placed now by its old
    // view could go to an upstream that has left, and a second time.
    out.emplace_back(report{report_kind::view_expired, "", ""});
    this->members.expire_view(now, out);
    this->update_permission(now, out);
}

void reducer::refresh(time_point now, effect_list& out)
{
    this->join_when_caught_up(now, out);
    this->apply_document_changes(now);
    this->apply_membership_changes(now);
    this->update_permission(now, out);
}

void reducer::join_when_caught_up(time_point now, effect_list& out)
{
    // A joiner that owned flows before it knew the highest versions would
    // place openings by declarations that the others have already left.
    if (this->has_joined || this->handing_over.is_leaving() ||
        !this->versions.is_caught_up(now))
        return;
    if (!this->caught_up_at)
        this->caught_up_at = now;
    // With tags a VM passes packets before it joins. Where all start at once,
    // documents take long, callers have waited for them, and all would join
    // in the moment in which those come: seen as requests that are late by as
    // much again. Who got them soon joins soon; callers wait no longer than
    // `longest_start`, and neither do peers.
    auto const took = std::min<duration>(
        *this->caught_up_at - this->started_at, longest_start);
    auto const registry = this->versions.registered();
    bool const may_wait =
        this->is_tagged() && registry.routes && registry.upstreams;
    if (may_wait && now < *this->caught_up_at + took)
        return;
    this->has_joined = true;
    this->lease_ends_at = now + this->settings.membership.lease;
    this->members.start(now, this->first_life, out);
    this->members.hint(now, this->hints_before_join, out);
}

void reducer::apply_membership_changes(time_point now)
{
    if (!this->has_joined)
        return;
    // Before a peer has told who is there, this VM would own every flow.
    bool const may_own = this->settings.memory == flow_memory::pins;
    if (may_own && this->ownership.is_empty() &&
        !this->members.is_view_fresh(now))
        return;
    if (this->applied_membership == this->members.generation())
        return;
    this->applied_membership = this->members.generation();
    this->turn.observe(now, this->settings.self, this->members.members());
    std::vector<document_peer> peers;
    this->domain_vms.clear();
    this->peer_vms.clear();
    for (member const& known : this->members.members())
    {
        bool const is_self = known.id == this->settings.self.id;
        if (!is_self && !this->members.is_reachable(known.id))
            continue;
        if (known.domain == this->settings.self.domain)
            this->domain_vms.push_back(known.id);
        if (is_self)
            continue;
        this->peer_vms.push_back(known.id);
        peers.push_back({known.id, known.domain});
    }
    for (failure_domain_id const domain :
         this->members.contacts_abroad().domains())
    {
        for (domain_contact const& known :
             this->members.contacts_abroad().of(domain))
            peers.push_back({known.id, domain});
    }
    this->versions.set_peers(now, peers);
    // Ranking all slots takes milliseconds, which a small VM feels as lost
    // time at each join, and nobody owns a flow whose packets carry tags.
    if (this->is_tagged())
    {
        this->tagged.set_domain_vms(this->settings.self.id, this->domain_vms);
        this->tagged.set_peers(this->choose_flow_peers());
        this->ratings.set_vms(this->domain_vms);
        return;
    }
    std::vector<ownership_candidate> const candidates = this->owners();
    if (this->ownership.is_empty())
        this->rebuild_ownership_history(now, candidates);
    this->ownership.set_candidates(now, candidates);
    auto const count =
        static_cast<std::uint32_t>(std::max<std::size_t>(1, candidates.size()));
    this->admitter.set_vm_count(count);
    this->placer.set_fleet(
        count,
        [this](failure_domain_id domain)
        {
            return this->members.is_domain_reachable(domain);
        });
}

std::vector<vm_id> reducer::choose_flow_peers() const
{
    // The fabric moves flows within the failure domain, and to others only
    // while none of its VMs is in use.
    std::vector<vm_id> chosen = this->peer_vms;
    for (failure_domain_id const domain :
         this->members.contacts_abroad().domains())
    {
        for (domain_contact const& known :
             this->members.contacts_abroad().of(domain))
        {
            if (chosen.size() < enough_flow_peers)
                chosen.push_back(known.id);
        }
    }
    return chosen.empty() ? this->early_peers : chosen;
}

void reducer::note_early_peer(vm_id vm)
{
    bool const is_new =
        vm != this->settings.self.id &&
        this->early_peers.size() < enough_flow_peers &&
        std::ranges::find(this->early_peers, vm) == this->early_peers.end();
    if (!is_new)
        return;
    this->early_peers.push_back(vm);
    this->tagged.set_peers(this->choose_flow_peers());
}

void reducer::rebuild_ownership_history(
    time_point now, std::span<ownership_candidate const> candidates)
{
    // Where two VMs that joined lately hold a flow, neither has seen who held
    // it before them, and its pin would never be found. The lives tell the
    // order in which the VMs joined, and so who held each slot before.
    auto const retention =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            this->settings.ownership.history_retention);
    std::uint64_t const own_life = life_of(this->first_life);
    std::uint64_t const oldest =
        own_life - std::min<std::uint64_t>(
                       own_life, static_cast<std::uint64_t>(retention.count()));
    std::vector<ownership_candidate> recent;
    std::vector<ownership_candidate> present;
    for (ownership_candidate const& vm : candidates)
        (vm.life >= oldest ? recent : present).push_back(vm);
    std::ranges::sort(recent, {}, &ownership_candidate::life);
    this->ownership.set_candidates(now, present);
    for (ownership_candidate const& vm : recent)
    {
        auto const place = std::ranges::lower_bound(
            present, vm.id, {}, &ownership_candidate::id);
        present.insert(place, vm);
        this->ownership.set_candidates(now, present);
    }
}

std::vector<ownership_candidate> reducer::owners() const
{
    std::vector<ownership_candidate> candidates;
    for (member const& known : this->members.members())
    {
        // A suspect keeps its flows: it may refute, and moving them twice
        // costs more than the seconds until it is dead.
        if (known.status == member_status::leaving ||
            known.status == member_status::dead)
            continue;
        candidates.push_back({known.id, known.domain, life_of(known.life)});
    }
    return candidates;
}

void reducer::apply_document_changes(time_point now)
{
    // These need no joining: they are complete from the first listing on, and
    // a VM that waited for its peers would refuse callers for that long.
    this->tagged.set_listings(
        now, this->versions.registered(),
        {this->versions.version_of(route_document_name),
         this->versions.version_of(upstream_document_name),
         this->versions.version_of(evacuation_document_name)});
    // Placement takes upstreams that it did not know before for cold. What a
    // joiner learns while it catches up was there before it: taking those for
    // cold made `prefer: continuity` place by load alone for half a minute.
    if (!this->has_joined)
        return;
    if (this->applied_documents == this->versions.generation())
        return;
    this->applied_documents = this->versions.generation();
    this->declarations = this->versions.current();
    this->placer.set_directory(now, this->declarations);
}

void reducer::update_permission(time_point now, effect_list& out)
{
    placing_permission const next = this->permission(now);
    if (next == this->current_permission)
        return;
    bool const was_joining =
        this->current_permission == placing_permission::joining;
    this->current_permission = next;
    if (next != placing_permission::allowed)
        return;
    out.emplace_back(report{
        was_joining ? report_kind::ready : report_kind::view_refreshed, "",
        ""});
}

} // namespace cairnhead
