#include <versions/reading_substitutes.hpp>

#include <algorithm>

namespace cairnhead
{

namespace
{

/// A reader that is turned away asks another VM this often. Where one VM in
/// ten is served, the two readers of a domain find one after two seconds in
/// the mean; a platform that answers nobody gets five more calls a second
/// from each domain.
constexpr duration first_round_period = 400ms;

/// After all VMs of the domain were asked in vain the platform is probably
/// down for all.
constexpr duration later_round_period = 2s;

/// A substitute that was found is asked to go on this often.
constexpr duration renewal_period = 1s;

/// A substitute that has not confirmed for this long is no longer counted on:
/// two renewals may be lost.
constexpr duration confirmation_lifetime = 2500ms;

/// A substitute reads for this long after it was asked last: three renewals,
/// and no longer than that when its reader died.
constexpr duration lease = 3s;

} // namespace

void reading_substitutes::search(
    time_point now,
    vm_identity const& self,
    std::span<document_peer const> peers,
    version_random& random,
    effect_list& effects)
{
    if (this->found && now >= this->found_until)
        this->found.reset();
    if (now < this->next_request_at)
        return;
    auto const target =
        this->found ? this->found : this->next_candidate(self, peers, random);
    if (!target)
        return;
    auto const search_period =
        this->is_first_round ? first_round_period : later_round_period;
    this->next_request_at =
        now + (this->found ? duration(renewal_period) : search_period);
    effects.push_back(
        send_control{*target, reading_substitution{listing_kind::request}});
}

std::optional<vm_id> reading_substitutes::next_candidate(
    vm_identity const& self,
    std::span<document_peer const> peers,
    version_random& random)
{
    if (this->candidates.empty())
    {
        for (document_peer const& peer : peers)
        {
            if (peer.domain == self.domain)
                this->candidates.push_back(peer.id);
        }
        // Two readers that asked in the same order would ask the same VMs.
        std::ranges::shuffle(this->candidates, random);
    }
    if (this->candidates.empty())
        return std::nullopt;
    vm_id const next = this->candidates.back();
    this->candidates.pop_back();
    this->is_first_round = this->is_first_round && !this->candidates.empty();
    return next;
}

void reading_substitutes::end_search()
{
    this->found.reset();
    this->candidates.clear();
    this->is_first_round = true;
}

void reading_substitutes::confirmed(time_point now, vm_id substitute)
{
    // A second one that answers late lets its lease end.
    if (this->found && this->found != substitute)
        return;
    this->found = substitute;
    this->found_until = now + confirmation_lifetime;
    this->is_first_round = true;
}

void reading_substitutes::asked(time_point now, vm_id asker)
{
    std::erase_if(
        this->lent,
        [now, asker](lent_reading const& each)
        {
            return each.asker == asker || now >= each.ends_at;
        });
    this->lent.push_back({asker, now + lease});
}

void reading_substitutes::give_up()
{
    this->lent.clear();
}

bool reading_substitutes::is_substitute(time_point now) const
{
    return std::ranges::any_of(
        this->lent,
        [now](lent_reading const& each)
        {
            return now < each.ends_at;
        });
}

void reading_substitutes::confirm(time_point now, effect_list& effects)
{
    for (lent_reading& each : this->lent)
    {
        if (each.is_confirmed || now >= each.ends_at)
            continue;
        each.is_confirmed = true;
        effects.push_back(send_control{
            each.asker, reading_substitution{listing_kind::answer}});
    }
}

} // namespace cairnhead
