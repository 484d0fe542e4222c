#include <membership/membership.hpp>

#include <algorithm>

/// Failure domains other than the own, where the scope is that one.
namespace cairnhead
{

namespace
{

/// A domain that was not heard for so many periods is told of as silent.
constexpr int missed_periods = 3;

/// Contacts of each other domain that a joiner is told of.
constexpr std::size_t told_contacts = 2;

/// Members that a VM told of, and that are asked for more.
constexpr std::size_t asked_members = 2;

/// Members that a joiner greets besides. In a small failure domain all know of
/// it at once: one that was told to stop waits until the one before it is back,
/// and would wait in vain until someone pings the right one.
constexpr std::size_t greeted_members = 4;

/// VMs of the own domain that each message to another one tells of.
constexpr std::size_t introduced_members = 2;

} // namespace

bool membership::is_abroad(failure_domain_id domain) const
{
    return this->settings.scope == member_scope::failure_domain &&
           domain != this->self.domain;
}

bool membership::hear_from_abroad(
    time_point now, vm_id sender, std::span<member_update const> claims)
{
    // Whoever talks tells of itself first.
    bool const is_told = !claims.empty() && claims.front().vm == sender &&
                         this->is_abroad(claims.front().domain);
    if (!is_told)
        return false;
    if (std::ranges::find(this->seeds, sender) != this->seeds.end())
        this->seeds_abroad.insert(sender);
    bool const was_known = !this->abroad.of(claims.front().domain).empty();
    this->abroad.note_heard(now, claims.front(), this->random);
    if (!was_known)
        this->updates.push(claims.front());
    return true;
}

void membership::learn_of_abroad(member_update const& claim)
{
    // The first VM of a domain is news to this one's neighbours as well: none
    // of them may have met that domain yet. Later ones they meet by themselves.
    bool const was_known = !this->abroad.of(claim.domain).empty();
    this->abroad.note_claim(claim, this->random);
    bool const is_known = !this->abroad.of(claim.domain).empty();
    if (!was_known && is_known)
        this->updates.push(claim);
}

void membership::probe_abroad(time_point now, effect_list& effects)
{
    std::size_t const domains = this->abroad.domains().size();
    if (domains == 0 || now < this->next_contact_probe_at)
        return;
    // One domain after the other, so that each has its turn in a period.
    this->next_contact_probe_at =
        now + this->settings.contact_period / static_cast<int>(domains);
    if (auto const contact = this->abroad.take_next(this->random))
        this->send_ping(*contact, effects);
}

std::vector<domain_hearing> membership::take_domain_changes(time_point now)
{
    return this->abroad.take_changes(
        now, this->settings.contact_period * missed_periods);
}

std::vector<member_update> membership::contact_claims() const
{
    std::vector<member_update> claims;
    for (failure_domain_id const domain : this->abroad.domains())
    {
        auto const known = this->abroad.of(domain);
        for (domain_contact const& each :
             known.first(std::min(known.size(), told_contacts)))
            claims.push_back(
                {each.id, domain, each.life, member_status::alive});
    }
    return claims;
}

void membership::answer_from_abroad(
    member_update const& requester, effect_list& effects) const
{
    // A joiner may know VMs of other domains only. It learns here of those of
    // its own that asked before it.
    std::vector<member_update> claims{make_claim(this->own())};
    for (domain_contact const& each : this->abroad.of(requester.domain))
    {
        if (each.id != requester.vm)
            claims.push_back(
                {each.id, requester.domain, each.life, member_status::alive});
    }
    for (member_update const& contact : this->contact_claims())
    {
        if (contact.domain != requester.domain)
            claims.push_back(contact);
    }
    // Proof that the listing is new; see answer_listing.
    claims.push_back(requester);
    this->send_listing(requester.vm, claims, effects);
}

void membership::add_introductions(std::vector<member_update>& claims)
{
    // Its contacts here would otherwise be the few that joined first, and
    // those would get the pings of all other domains.
    auto const others = this->rotation.sample(
        introduced_members, this->self.id, this->table, this->random);
    for (vm_id const each : others)
    {
        bool const is_told =
            std::ranges::find(claims, each, &member_update::vm) != claims.end();
        if (!is_told)
            claims.push_back(make_claim(*this->find(each)));
    }
}

void membership::ask_told_members(
    std::span<member_update const> told, effect_list& effects)
{
    std::vector<vm_id> candidates;
    for (member_update const& claim : told)
    {
        bool const is_of_use = claim.domain == this->self.domain &&
                               claim.vm != this->self.id &&
                               claim.status == member_status::alive;
        if (is_of_use)
            candidates.push_back(claim.vm);
    }
    std::ranges::shuffle(candidates, this->random);
    std::span<vm_id const> left(candidates);
    auto const asked = left.first(std::min(left.size(), asked_members));
    for (vm_id const member : asked)
        this->send_listing_request(member, effects);
    left = left.subspan(asked.size());
    for (vm_id const member :
         left.first(std::min(left.size(), greeted_members)))
        this->send_ping(member, effects);
}

} // namespace cairnhead
