#include <membership/member_table.hpp>

#include <algorithm>

namespace cairnhead
{

namespace
{

template <typename Members>
auto first_not_below(Members& members, vm_id id)
{
    return std::ranges::lower_bound(members, id, {}, &member::id);
}

bool is_visible_change(member const& before, member const& after)
{
    if (before.status != after.status)
        return true;
    // A VM that restarted faster than it was missed keeps its place, but has
    // lost its pins: whoever holds copies must learn of it.
    return is_live_status(after.status) &&
           (before.domain != after.domain ||
            life_of(before.life) != life_of(after.life));
}

} // namespace

void member_table::put(member const& next)
{
    auto const place = first_not_below(this->sorted, next.id);
    if (place == this->sorted.end() || place->id != next.id)
    {
        this->changes += is_live_status(next.status) ? 1 : 0;
        this->sorted.insert(place, next);
        this->count(next);
        return;
    }
    this->changes += is_visible_change(*place, next) ? 1 : 0;
    this->uncount(*place);
    *place = next;
    this->count(next);
}

void member_table::erase(vm_id id)
{
    auto const place = first_not_below(this->sorted, id);
    if (place == this->sorted.end() || place->id != id)
        return;
    this->changes += is_live_status(place->status) ? 1 : 0;
    this->uncount(*place);
    this->sorted.erase(place);
}

member const* member_table::find(vm_id id) const
{
    auto const place = first_not_below(this->sorted, id);
    if (place == this->sorted.end() || place->id != id)
        return nullptr;
    return &*place;
}

std::span<member const> member_table::all() const
{
    return this->sorted;
}

std::size_t member_table::live_count() const
{
    return this->live;
}

std::uint64_t member_table::generation() const
{
    return this->changes;
}

bool member_table::is_domain_reachable(failure_domain_id domain) const
{
    auto const known = this->reachable_by_domain.find(domain);
    return known == this->reachable_by_domain.end() || known->second > 0;
}

void member_table::count(member const& added)
{
    this->live += is_live_status(added.status) ? 1 : 0;
    auto& reachable = this->reachable_by_domain[added.domain];
    reachable += is_reachable_status(added.status) ? 1 : 0;
}

void member_table::uncount(member const& removed)
{
    this->live -= is_live_status(removed.status) ? 1 : 0;
    auto& reachable = this->reachable_by_domain[removed.domain];
    reachable -= is_reachable_status(removed.status) ? 1 : 0;
}

} // namespace cairnhead
