#include <membership/membership.hpp>

#include <algorithm>
#include <utility>

namespace cairnhead
{

namespace
{

/// About 20 bytes an entry: 40 fit `maximum_control_bytes` with room to spare.
constexpr std::size_t entries_per_part = 40;

constexpr std::size_t bytes_per_entry = 20;

static_assert(entries_per_part * bytes_per_entry < maximum_control_bytes);

/// What a joiner gets of a listing while too many are asked for.
constexpr std::size_t sampled_entries = 20;

/// Parts that a VM sends in a tick, and at once: few enough for a small link.
constexpr std::size_t parts_each_tick = 6;
constexpr std::size_t maximum_parts_at_once = 60;

} // namespace

void membership::refill_listing_parts()
{
    this->listing_parts =
        std::min(this->listing_parts + parts_each_tick, maximum_parts_at_once);
}

void membership::begin_refresh(
    time_point now, view_proof proof, std::vector<vm_id> candidates)
{
    view_refresh_plan chosen{
        proof, this->own().life, this->next_sequence, std::move(candidates),
        now + this->settings.suspicion_timeout + this->settings.probe_period};
    this->refresh.begin(now, std::move(chosen));
}

void membership::ask_for_listings(time_point now, effect_list& effects)
{
    auto const due = this->refresh.take_due(now, this->settings.probe_period);
    for (vm_id const peer : due)
        this->send_listing_request(peer, effects);
}

void membership::send_listing_request(vm_id target, effect_list& effects) const
{
    member_listing request{listing_kind::request, {make_claim(this->own())}};
    effects.push_back(send_control{target, std::move(request)});
}

void membership::exchange_listings(
    time_point now, vm_id peer, effect_list& effects)
{
    // A healed partition brings back many at once, each with the same news.
    if (now < this->next_exchange_at)
        return;
    this->next_exchange_at = now + this->settings.suspicion_timeout;
    this->send_listing_request(peer, effects);
}

std::vector<member_update> membership::own_listing(vm_id requester)
{
    std::vector<member_update> claims;
    for (member const& known : this->table.all())
    {
        if (known.id != this->self.id && known.id != requester)
            claims.push_back(make_claim(known));
    }
    if (this->settings.scope == member_scope::fleet ||
        this->listing_parts * entries_per_part >= claims.size())
        return claims;
    // All VMs started at once, and all ask here. Who gets some members asks
    // those for the rest, so that the listings come from everywhere.
    std::ranges::shuffle(claims, this->random);
    claims.resize(std::min(claims.size(), sampled_entries));
    return claims;
}

void membership::answer_listing(vm_id requester, effect_list& effects)
{
    std::vector<member_update> claims{make_claim(this->own())};
    for (member_update const& known : this->own_listing(requester))
        claims.push_back(known);
    for (member_update const& contact : this->contact_claims())
        claims.push_back(contact);
    // The requester comes last: it takes its own entry as proof that the
    // listing is new, and by then it should have the parts before.
    if (member const* known = this->find(requester))
        claims.push_back(make_claim(*known));
    this->listing_parts -=
        std::min(this->listing_parts, claims.size() / entries_per_part + 1);
    this->send_listing(requester, claims, effects);
}

void membership::send_listing(
    vm_id requester,
    std::span<member_update const> claims,
    effect_list& effects) const
{
    std::span<member_update const> left(claims);
    while (!left.empty())
    {
        auto const part = left.first(std::min(entries_per_part, left.size()));
        member_listing answer{listing_kind::answer, {part.begin(), part.end()}};
        effects.push_back(send_control{requester, std::move(answer)});
        left = left.subspan(part.size());
    }
}

std::vector<vm_id> membership::refresh_candidates()
{
    std::vector<vm_id> near;
    std::vector<vm_id> far;
    for (member const& known : this->table.all())
    {
        if (known.id == this->self.id || !is_live_status(known.status))
            continue;
        auto& group = known.domain == this->self.domain ? near : far;
        group.push_back(known.id);
    }
    // Peers of the own failure domain first: a partition that began during
    // the pause leaves those, and few are asked before the VM takes itself
    // to be alone.
    for (auto* group : {&near, &far})
    {
        for (std::size_t left = group->size(); left > 1; --left)
            std::swap(
                (*group)[left - 1], (*group)[random_below(left, this->random)]);
    }
    near.insert(near.end(), far.begin(), far.end());
    for (vm_id const seed : this->seeds)
    {
        if (!this->is_live_member(seed))
            near.push_back(seed);
    }
    return near;
}

void membership::relay_answer(
    time_point now,
    vm_id sender,
    ping_answer const& message,
    effect_list& effects)
{
    if (message.subject != sender)
        return;
    this->relays.drop_expired(now);
    auto const relay = this->relays.take(message.sequence, sender);
    if (!relay)
        return;
    auto claims = this->updates_for(relay->requester);
    // The target's own claim first after the sender's: the requester may be
    // about to suspect an incarnation that the target has left behind.
    if (member const* known = this->find(sender))
        claims.insert(claims.begin() + 1, make_claim(*known));
    claims.resize(std::min<std::size_t>(
        claims.size(),
        std::max<std::size_t>(this->settings.updates_per_message, 2)));
    ping_answer relayed{
        relay->requester_sequence, sender, message.documents_digest,
        std::move(claims)};
    effects.push_back(send_control{relay->requester, std::move(relayed)});
}

member const& membership::own() const
{
    return *this->find(this->self.id);
}

} // namespace cairnhead
