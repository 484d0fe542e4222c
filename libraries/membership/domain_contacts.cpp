#include <membership/domain_contacts.hpp>

#include <algorithm>

namespace cairnhead
{

namespace
{

/// A contact that left so many pings unanswered gives its place to another.
constexpr std::uint32_t unanswered_to_replace = 2;

/// Of so many VMs that are told of, one replaces a contact that answers. With
/// two told of in each answer, all are replaced within some minutes.
constexpr std::uint64_t replaced_one_in = 16;

bool is_going(member_status status)
{
    return status == member_status::leaving || status == member_status::dead;
}

} // namespace

domain_contact* domain_contacts::find_in(contact_list& list, vm_id vm)
{
    auto const found = std::ranges::find(list, vm, &domain_contact::id);
    return found == list.end() ? nullptr : &*found;
}

domain_contact*
domain_contacts::make_room(contact_list& list, std::mt19937_64& random)
{
    if (list.size() < maximum_per_domain)
        return &list.emplace_back();
    auto const worst =
        std::ranges::max_element(list, {}, &domain_contact::unanswered);
    if (worst->unanswered >= unanswered_to_replace)
        return &*worst;
    // The first ones that all VMs hear of are the seeds. If these kept their
    // places, they would get an eighth of all pings of the other domains.
    bool const is_replaced = random() % replaced_one_in == 0;
    return is_replaced ? &list[random() % list.size()] : nullptr;
}

domain_contact* domain_contacts::find_or_add(
    member_update const& claim, std::mt19937_64& random)
{
    contact_list& list = this->by_domain[claim.domain];
    if (domain_contact* const known = find_in(list, claim.vm))
        return known;
    domain_contact* const place = this->make_room(list, random);
    if (place == nullptr)
        return nullptr;
    *place = {claim.vm, claim.life, std::nullopt, 0};
    ++this->changes;
    return place;
}

void domain_contacts::note_claim(
    member_update const& claim, std::mt19937_64& random)
{
    if (!is_going(claim.status))
    {
        this->find_or_add(claim, random);
        return;
    }
    auto const found = this->by_domain.find(claim.domain);
    if (found == this->by_domain.end())
        return;
    // An old claim must not drop a VM that has started anew.
    auto const dropped = std::erase_if(
        found->second,
        [&claim](domain_contact const& contact)
        {
            return contact.id == claim.vm && contact.life <= claim.life;
        });
    this->changes += dropped;
}

void domain_contacts::note_heard(
    time_point now, member_update const& own_claim, std::mt19937_64& random)
{
    domain_hearing& hearing = this->hearings[own_claim.domain];
    hearing.domain = own_claim.domain;
    hearing.heard_at = now;
    domain_contact* const contact = this->find_or_add(own_claim, random);
    if (contact == nullptr)
        return;
    contact->life = std::max(contact->life, own_claim.life);
    contact->heard_at = now;
    contact->unanswered = 0;
}

domain_contact&
domain_contacts::choose(contact_list& list, std::mt19937_64& random)
{
    // Any of the best: if all asked the one that they know longest, a seed
    // would get the pings of the whole fleet.
    auto const least =
        std::ranges::min_element(list, {}, &domain_contact::unanswered)
            ->unanswered;
    std::vector<domain_contact*> best;
    for (domain_contact& each : list)
    {
        if (each.unanswered == least)
            best.push_back(&each);
    }
    return *best[random() % best.size()];
}

std::optional<vm_id> domain_contacts::take_next(std::mt19937_64& random)
{
    auto next = this->by_domain.upper_bound(this->last_asked);
    for (std::size_t looked = 0; looked < this->by_domain.size(); ++looked)
    {
        if (next == this->by_domain.end())
            next = this->by_domain.begin();
        auto& [domain, list] = *next;
        ++next;
        if (list.empty())
            continue;
        this->last_asked = domain;
        domain_contact& chosen = choose(list, random);
        ++chosen.unanswered;
        return chosen.id;
    }
    return std::nullopt;
}

std::vector<domain_hearing>
domain_contacts::take_changes(time_point now, duration bound)
{
    std::vector<domain_hearing> changed;
    for (auto& [domain, hearing] : this->hearings)
    {
        bool const is_silent = now > hearing.heard_at + bound;
        if (is_silent == hearing.is_silent)
            continue;
        hearing.is_silent = is_silent;
        changed.push_back(hearing);
    }
    return changed;
}

std::span<domain_contact const>
domain_contacts::of(failure_domain_id domain) const
{
    auto const found = this->by_domain.find(domain);
    if (found == this->by_domain.end())
        return {};
    return found->second;
}

std::vector<failure_domain_id> domain_contacts::domains() const
{
    std::vector<failure_domain_id> all;
    for (auto const& [domain, list] : this->by_domain)
    {
        if (!list.empty())
            all.push_back(domain);
    }
    return all;
}

std::optional<failure_domain_id> domain_contacts::domain_of(vm_id vm) const
{
    for (auto const& [domain, list] : this->by_domain)
    {
        if (std::ranges::find(list, vm, &domain_contact::id) != list.end())
            return domain;
    }
    return std::nullopt;
}

std::uint64_t domain_contacts::generation() const
{
    return this->changes;
}

} // namespace cairnhead
