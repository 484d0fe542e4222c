#include <versions/joiner_line.hpp>

#include <algorithm>

namespace cairnhead
{

namespace
{

/// A VM serves so many joiners in a period, of which each takes a connection
/// and the registry.
constexpr std::size_t turns_per_period = 4;
constexpr duration period = std::chrono::milliseconds(100);

/// Who is told to wait gets its turn within two periods once the documents are
/// here.
constexpr std::size_t places_in_line = 2 * turns_per_period;

/// Joiners are named so many others: one that is gone costs them no time.
constexpr std::size_t named_holders = 2;

/// VMs of one start come within a second, and ask again where that failed.
constexpr duration arrival_memory = std::chrono::seconds(3);

/// Bounds what a flood of requests can make this VM remember.
constexpr std::size_t maximum_arrivals = 4'096;

/// Of these each joiner of the domain is named two.
constexpr std::size_t maximum_holders = 16;

} // namespace

joiner_line::joiner_line(
    version_settings const& settings,
    vm_identity const& own,
    std::uint64_t random_seed)
    : fanout(settings.relay_fanout), self(own), random(random_seed)
{
}

std::optional<join_referral> joiner_line::ask(
    time_point now,
    vm_id joiner,
    join_request const& request,
    situation const& known)
{
    arrivals const& came = note_arrival(
        now, joiner, this->recent[request.domain], maximum_arrivals);
    // Who was sent here is served here: it would be sent around otherwise. So
    // is who asks again: those that it was sent to may be gone.
    bool const is_asking_again = request.attempt > 0 && known.has_documents;
    if (request.is_referred || is_asking_again)
    {
        if (!this->has_room_for(joiner))
            return this->refer_to_line(joiner);
        this->admit(joiner);
        return std::nullopt;
    }
    if (auto referral = this->refer_to_members(joiner, request.domain, known))
        return referral;
    if (auto referral = this->refer_to_holders(now, joiner, request.domain))
        return referral;
    return this->refer_by_arrival(joiner, request, came, known.has_documents);
}

joiner_line::arrivals& joiner_line::note_arrival(
    time_point now, vm_id vm, arrivals& came, std::size_t most)
{
    std::erase_if(
        came,
        [now](arrival const& each)
        {
            return now > each.asked_at + arrival_memory;
        });
    auto const known = std::ranges::find(came, vm, &arrival::vm);
    if (known == came.end() && came.size() < most)
        came.push_back({vm, now});
    return came;
}

void joiner_line::note_holder(
    time_point now, vm_id holder, failure_domain_id domain)
{
    note_arrival(now, holder, this->holders[domain], maximum_holders);
}

bool joiner_line::has_room_for(vm_id joiner) const
{
    bool const is_waiting =
        std::ranges::find(this->line, joiner) != this->line.end();
    return is_waiting || this->line.size() < places_in_line;
}

void joiner_line::admit(vm_id joiner)
{
    if (std::ranges::find(this->line, joiner) == this->line.end())
        this->line.push_back(joiner);
}

std::optional<join_referral> joiner_line::refer_to_line(vm_id joiner)
{
    // One after the other, so that those below get as many each.
    join_referral referral;
    for (std::size_t named = 0; named < named_holders; ++named)
    {
        vm_id const holder =
            this->line[this->next_of_line++ % this->line.size()];
        if (holder != joiner)
            referral.holders.push_back(holder);
    }
    return referral;
}

std::optional<join_referral> joiner_line::refer_to_members(
    vm_id joiner, failure_domain_id domain, situation const& known)
{
    std::vector<vm_id> members;
    for (document_peer const& peer : known.peers)
    {
        if (peer.domain == domain && peer.id != joiner)
            members.push_back(peer.id);
    }
    if (members.empty())
        return std::nullopt;
    return join_referral{this->sample(std::move(members)), false};
}

std::optional<join_referral> joiner_line::refer_to_holders(
    time_point now, vm_id joiner, failure_domain_id domain)
{
    join_referral referral;
    arrivals const& known = this->holders[domain];
    for (std::size_t named = 0; named < named_holders && !known.empty();
         ++named)
    {
        // One after the other, so that each gets as many.
        arrival const& holder = known[this->next_holder++ % known.size()];
        bool const is_recent = now <= holder.asked_at + arrival_memory;
        if (is_recent && holder.vm != joiner)
            referral.holders.push_back(holder.vm);
    }
    if (referral.holders.empty())
        return std::nullopt;
    return referral;
}

std::optional<join_referral> joiner_line::refer_by_arrival(
    vm_id joiner,
    join_request const& request,
    arrivals const& came,
    bool has_documents)
{
    auto const found = std::ranges::find(came, joiner, &arrival::vm);
    auto const place = static_cast<std::size_t>(found - came.begin());
    // Whom it was sent to did not serve it; someone else may.
    if (request.attempt > 0 && came.size() > 1)
    {
        std::vector<vm_id> others;
        for (arrival const& other : came)
        {
            if (other.vm != joiner)
                others.push_back(other.vm);
        }
        return join_referral{this->sample(std::move(others)), false};
    }
    // In its own failure domain this VM is the root; in another one the first
    // that came is, and gets the documents from here or from the platform.
    bool const is_root_here = request.domain == this->self.domain;
    std::size_t const roots = is_root_here ? this->fanout : 1;
    if (place < roots)
    {
        this->admit(joiner);
        bool const is_to_read = !is_root_here && !has_documents;
        return is_to_read ? std::optional(join_referral{{}, true})
                          : std::nullopt;
    }
    std::size_t const parent = (place - roots) / this->fanout;
    return join_referral{{came[parent].vm}, false};
}

std::vector<vm_id> joiner_line::sample(std::vector<vm_id> candidates)
{
    std::vector<vm_id> chosen;
    std::ranges::sample(
        candidates, std::back_inserter(chosen), named_holders, this->random);
    return chosen;
}

std::vector<vm_id> joiner_line::take_due(time_point now)
{
    if (now >= this->next_turn_at)
    {
        this->next_turn_at = now + period;
        this->turns = turns_per_period;
    }
    std::vector<vm_id> due;
    for (; this->turns > 0 && !this->line.empty(); --this->turns)
    {
        due.push_back(this->line.front());
        this->line.pop_front();
    }
    return due;
}

} // namespace cairnhead
