#include <base/ipv4.hpp>
#include <membership/membership.hpp>

#include <utility>

namespace cairnhead
{

namespace
{

report make_report(report_kind kind, vm_id vm)
{
    return {kind, format_ipv4(ipv4_address(vm.value())), {}};
}

/// Whether a member's coming is told of by itself.
enum class arrival_report : std::uint8_t
{
    each,
    /// A VM that joins learns of all at once: a line for each would take a
    /// small VM longer than all else that it does as it starts.
    none,
};

/// Tells operators what a claim changed; a dead VM counts as absent.
void report_change(
    std::optional<member_status> before,
    member_update const& claim,
    arrival_report arrivals,
    effect_list& effects)
{
    bool const was_live = before && is_live_status(*before);
    if (claim.status == member_status::dead)
    {
        if (!was_live)
            return;
        // A VM that announced its leave is meant to go: no alarm.
        auto const kind = *before == member_status::leaving
                              ? report_kind::member_left
                              : report_kind::member_died;
        effects.push_back(make_report(kind, claim.vm));
        return;
    }
    if (!was_live && arrivals == arrival_report::each)
        effects.push_back(make_report(report_kind::member_joined, claim.vm));
    if (claim.status == member_status::suspect &&
        before != member_status::suspect)
        effects.push_back(make_report(report_kind::member_suspected, claim.vm));
}

bool is_accusation(member_status status)
{
    return status == member_status::suspect || status == member_status::dead;
}

} // namespace

void membership::apply_all(
    time_point now,
    std::span<member_update const> claims,
    claim_source source,
    effect_list& effects)
{
    for (member_update const& claim : claims)
        this->apply(now, claim, source, effects);
    auto const listed = std::exchange(this->listed_members, 0);
    if (listed > 0)
        effects.push_back(report{
            report_kind::members_listed,
            {},
            {},
            {{"count", std::to_string(listed)}}});
}

void membership::apply(
    time_point now,
    member_update const& claim,
    claim_source source,
    effect_list& effects)
{
    if (claim.vm == this->self.id)
    {
        this->refute(claim);
        return;
    }
    if (this->is_abroad(claim.domain))
    {
        this->learn_of_abroad(claim);
        return;
    }
    member const* known = this->find(claim.vm);
    if (known != nullptr && !supersedes(claim, *known))
    {
        // The other side of a healed partition lists as live whom this side
        // holds dead. The VM itself must say so; a ping lets it refute.
        if (source != claim_source::gossip && is_live_status(claim.status) &&
            !is_live_status(known->status))
            this->contacts.push(claim.vm);
        return;
    }
    // While a partition heals, each side lists the other as dead. Believing
    // that would kill both sides' members for as long as they take to refute,
    // seen as a wave of deaths and joins. Only a VM whose own view is void
    // has nothing better to believe.
    if (source == claim_source::exchanged_listing &&
        is_accusation(claim.status))
        return;
    this->adopt(now, claim, source, effects);
}

void membership::adopt(
    time_point now,
    member_update const& claim,
    claim_source source,
    effect_list& effects)
{
    member const* known = this->find(claim.vm);
    std::optional<member_status> before;
    if (known != nullptr)
        before = known->status;
    bool const was_live = before && is_live_status(*before);
    this->store(now, claim);
    bool const is_listed = source != claim_source::gossip;
    report_change(
        before, claim, is_listed ? arrival_report::none : arrival_report::each,
        effects);
    this->listed_members += is_listed && !was_live ? 1 : 0;
    if (!was_live && is_live_status(claim.status))
        this->rotation.add(claim.vm, this->random);
    // What a listing tells a VM that joins or wakes is no news to the rest.
    // The death of a VM that was never known here spreads through those who
    // knew it: spreading it again from here could keep it known for ever.
    bool const is_news = source != claim_source::refreshing_listing &&
                         (was_live || is_live_status(claim.status));
    if (is_news)
        this->updates.push(claim);
}

void membership::store(time_point now, member_update const& claim)
{
    member next{claim.vm, claim.domain, claim.life, claim.status, {}};
    if (claim.status == member_status::suspect)
    {
        next.status_deadline = now + this->settings.suspicion_timeout;
        this->suspicions.push(claim.vm, next.status_deadline);
    }
    if (claim.status == member_status::dead)
    {
        next.status_deadline = now + this->settings.dead_retention;
        this->dead.push(claim.vm, next.status_deadline);
    }
    this->table.put(next);
}

void membership::refute(member_update const& claim)
{
    if (!supersedes(claim, this->own()))
        return;
    // The claim spreads and would kill this VM; an incarnation above the
    // claim's overrides it wherever both arrive. The own claim rides on every
    // message, so it needs no place among those to spread.
    member raised = this->own();
    raised.life = incarnation(claim.life.value() + 1);
    this->table.put(raised);
}

void membership::suspect(time_point now, vm_id peer, effect_list& effects)
{
    member const* known = this->find(peer);
    if (known == nullptr)
        return;
    if (known->status == member_status::leaving)
    {
        this->suspect_leaving(now, *known);
        return;
    }
    if (known->status != member_status::alive)
        return;
    member_update claim = make_claim(*known);
    claim.status = member_status::suspect;
    this->adopt(now, claim, claim_source::gossip, effects);
    // The ping carries the suspicion to the suspect itself: the sooner it
    // refutes, the fewer VMs its death can reach when packets were lost.
    this->send_ping(peer, effects);
}

void membership::suspect_leaving(time_point now, member const& known)
{
    if (known.status_deadline != time_point{})
        return;
    member silent = known;
    silent.status_deadline = now + this->settings.suspicion_timeout;
    this->suspicions.push(silent.id, silent.status_deadline);
    this->table.put(silent);
}

void membership::clear_suspicion(member const& known)
{
    bool const is_suspect = known.status == member_status::suspect;
    bool const is_silent_leaver = known.status == member_status::leaving &&
                                  known.status_deadline != time_point{};
    if (!is_suspect && !is_silent_leaver)
        return;
    member cleared = known;
    cleared.status_deadline = {};
    if (is_suspect)
        cleared.status = member_status::alive;
    this->table.put(cleared);
}

void membership::declare_overdue_dead(time_point now, effect_list& effects)
{
    while (auto const due = this->suspicions.take_due(now))
    {
        member const* known = this->find(due->vm);
        if (known == nullptr || !is_live_status(known->status) ||
            known->status_deadline != due->deadline)
            continue;
        member_update claim = make_claim(*known);
        claim.status = member_status::dead;
        this->adopt(now, claim, claim_source::gossip, effects);
    }
}

void membership::forget_old_dead(time_point now)
{
    while (auto const due = this->dead.take_due(now))
    {
        member const* known = this->find(due->vm);
        if (known == nullptr || is_live_status(known->status) ||
            known->status_deadline != due->deadline)
            continue;
        this->table.erase(due->vm);
    }
}

void membership::drop_evidence()
{
    this->probe.reset();
    this->relays.clear();
    this->suspicions.clear();
    // What waited here to be spread is as old as the pause.
    this->updates.clear();
    std::vector<member> const before(
        this->table.all().begin(), this->table.all().end());
    for (member const& known : before)
        this->clear_suspicion(known);
}

bool membership::is_live_member(vm_id id) const
{
    member const* known = this->find(id);
    return known != nullptr && is_live_status(known->status);
}

membership::claim_source membership::listing_source() const
{
    return this->refresh.is_awaiting_listing()
               ? claim_source::refreshing_listing
               : claim_source::exchanged_listing;
}

} // namespace cairnhead
