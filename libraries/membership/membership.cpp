#include <membership/membership.hpp>

#include <algorithm>

namespace cairnhead
{

namespace
{

/// Unknown addresses of a platform list that get a ping at once; the others
/// follow with the ticks, so that a long list makes no burst.
constexpr std::size_t hinted_pings_at_once = 8;

/// Peers that learn of a planned leave at once; the others learn of it from
/// them and from later messages.
constexpr std::size_t leave_announcements = 4;

} // namespace

membership::membership(
    membership_settings const& chosen,
    vm_identity const& identity,
    std::span<vm_id const> first_contacts,
    std::uint64_t random_seed)
    : settings(chosen), self(identity),
      random(random_seed ^ identity.id.value())
{
    for (vm_id const seed : first_contacts)
    {
        if (seed != this->self.id)
            this->seeds.push_back(seed);
    }
    this->table.put({this->self.id, this->self.domain, {}, {}, {}});
}

void membership::start(time_point now, incarnation life, effect_list& effects)
{
    this->store(
        now, {this->self.id, this->self.domain, life, member_status::alive});
    this->last_tick_at = now;
    this->next_absent_probe_at = now + this->settings.dead_probe_period;
    // VMs that start together would otherwise probe together for ever.
    auto const period = static_cast<std::size_t>(
        std::max<duration::rep>(this->settings.probe_period.count(), 1));
    this->next_probe_at = now + duration(random_below(period, this->random));
    this->next_sequence = static_cast<std::uint32_t>(this->random());
    this->begin_refresh(now, view_proof::listing, this->seeds);
    this->ask_for_listings(now, effects);
}

void membership::tick(
    time_point now, std::uint64_t digest, effect_list& effects)
{
    this->documents_digest = digest;
    // After a pause every deadline has passed, though nobody else did wrong:
    // their answers could not be read. Without this the VM would declare its
    // suspects dead on waking, seen as healthy VMs that die and rejoin.
    if (now - this->last_tick_at > this->settings.lease)
        this->drop_evidence();
    this->last_tick_at = now;
    this->refill_listing_parts();
    this->relays.drop_expired(now);
    this->declare_overdue_dead(now, effects);
    this->forget_old_dead(now);
    this->advance_probe(now, effects);
    this->begin_probe(now, effects);
    this->ask_for_listings(now, effects);
    this->probe_contacts(effects);
    this->probe_absent(now, effects);
    this->probe_abroad(now, effects);
}

void membership::hint(
    time_point /*now*/, std::span<vm_id const> vms, effect_list& effects)
{
    this->hinted.assign(vms.begin(), vms.end());
    std::size_t pings = 0;
    for (vm_id const vm : vms)
    {
        if (this->find(vm) != nullptr)
            continue;
        if (pings == hinted_pings_at_once)
        {
            this->contacts.push(vm);
            continue;
        }
        this->send_ping(vm, effects);
        ++pings;
    }
}

void membership::heard_from(time_point /*now*/, vm_id sender)
{
    if (sender == this->self.id)
        return;
    member const* known = this->find(sender);
    // A dead one that talks must first refute: without a higher incarnation
    // the claim of its death would go on spreading beside the news that it
    // lives. A ping tells it so. An unknown one must first tell its domain;
    // where most VMs are none of this one's members, it does so in its own
    // messages.
    bool const is_wanted =
        known != nullptr || this->settings.scope == member_scope::fleet;
    if (known == nullptr || !is_live_status(known->status))
    {
        if (is_wanted)
            this->contacts.push(sender);
    }
    else
        this->clear_suspicion(*known);
}

void membership::receive(
    time_point now,
    vm_id sender,
    ping const& message,
    std::uint64_t digest,
    effect_list& effects)
{
    bool const was_live = this->is_live_member(sender);
    this->apply_all(now, message.updates, claim_source::gossip, effects);
    if (!this->hear_from_abroad(now, sender, message.updates))
        this->heard_from(now, sender);
    ping_answer answer{
        message.sequence, this->self.id, digest, this->updates_for(sender)};
    effects.push_back(send_control{sender, std::move(answer)});
    if (!was_live && this->is_live_member(sender))
        this->exchange_listings(now, sender, effects);
}

void membership::receive(
    time_point now,
    vm_id sender,
    ping_answer const& message,
    effect_list& effects)
{
    bool const was_live = this->is_live_member(sender);
    this->apply_all(now, message.updates, claim_source::gossip, effects);
    if (!this->hear_from_abroad(now, sender, message.updates))
        this->heard_from(now, sender);
    this->refresh.confirm_by_answer(message.sequence);
    this->relay_answer(now, sender, message, effects);
    if (this->probe && this->probe->sequence == message.sequence &&
        this->probe->target == message.subject)
    {
        this->heard_from(now, message.subject);
        this->probe.reset();
    }
    if (!was_live && this->is_live_member(sender))
        this->exchange_listings(now, sender, effects);
}

void membership::receive(
    time_point now,
    vm_id sender,
    ping_request const& message,
    std::uint64_t digest,
    effect_list& effects)
{
    this->documents_digest = digest;
    this->apply_all(now, message.updates, claim_source::gossip, effects);
    if (!this->hear_from_abroad(now, sender, message.updates))
        this->heard_from(now, sender);
    if (message.target == this->self.id)
        return;
    std::uint32_t const sequence = this->send_ping(message.target, effects);
    this->relays.add(
        {sequence, message.target, sender, message.sequence,
         now + this->settings.probe_period});
}

void membership::receive(
    time_point now,
    vm_id sender,
    member_listing const& message,
    effect_list& effects)
{
    bool const was_known = this->find(sender) != nullptr;
    bool const was_live = this->is_live_member(sender);
    if (message.kind == listing_kind::answer)
    {
        bool const is_first = this->refresh.is_awaiting_listing();
        this->apply_all(now, message.members, this->listing_source(), effects);
        this->refresh.confirm_by_listing(this->self.id, message.members);
        bool const is_from_abroad =
            this->hear_from_abroad(now, sender, message.members);
        if (!is_from_abroad)
            this->heard_from(now, sender);
        // A VM of another domain knows a few of this one, and a busy one of
        // this tells of a few; those know the rest.
        bool const is_partial =
            this->settings.scope == member_scope::failure_domain &&
            (is_first || is_from_abroad);
        if (is_partial)
            this->ask_told_members(message.members, effects);
        return;
    }
    this->apply_all(now, message.members, claim_source::gossip, effects);
    if (this->hear_from_abroad(now, sender, message.members))
        return this->answer_from_abroad(message.members.front(), effects);
    this->heard_from(now, sender);
    this->answer_listing(sender, effects);
    // An unknown sender is a joiner, which knows nothing yet.
    if (was_known && !was_live && this->is_live_member(sender))
        this->exchange_listings(now, sender, effects);
}

void membership::announce_leave(time_point now, effect_list& effects)
{
    member_update claim = make_claim(this->own());
    claim.status = member_status::leaving;
    this->store(now, claim);
    auto const peers = this->rotation.sample(
        leave_announcements, this->self.id, this->table, this->random);
    for (vm_id const peer : peers)
        this->send_ping(peer, effects);
}

void membership::expire_view(time_point now, effect_list& effects)
{
    this->drop_evidence();
    this->last_tick_at = now;
    this->next_probe_at = std::max(this->next_probe_at, now);
    member_update claim = make_claim(this->own());
    claim.life = incarnation(claim.life.value() + 1);
    this->store(now, claim);
    this->begin_refresh(
        now, view_proof::answer_or_listing, this->refresh_candidates());
    this->ask_for_listings(now, effects);
}

bool membership::is_view_fresh(time_point now) const
{
    return this->refresh.is_fresh(now);
}

std::span<member const> membership::members() const
{
    return this->table.all();
}

member const* membership::find(vm_id id) const
{
    return this->table.find(id);
}

std::uint64_t membership::generation() const
{
    // Each only goes up, so the sum changes with either.
    return this->table.generation() + this->abroad.generation();
}

domain_contacts const& membership::contacts_abroad() const
{
    return this->abroad;
}

std::optional<failure_domain_id> membership::domain_of(vm_id id) const
{
    if (member const* const known = this->find(id))
        return known->domain;
    return this->abroad.domain_of(id);
}

bool membership::is_reachable(vm_id id) const
{
    member const* known = this->find(id);
    return known != nullptr && is_reachable_status(known->status);
}

bool membership::is_domain_reachable(failure_domain_id domain) const
{
    return this->table.is_domain_reachable(domain);
}

} // namespace cairnhead
