#include <registry/listing_difference.hpp>

#include <algorithm>
#include <functional>
#include <iterator>
#include <type_traits>
#include <utility>

namespace cairnhead
{

namespace
{

/// Entries that left are forgotten beyond these; a VM that is older than the
/// oldest gets the whole. An hour of replacing one upstream a second.
constexpr std::size_t maximum_removed = 4096;

/// Complete reads between which changes were told one by one. A store that
/// forgets its history more often than this costs whole listings.
constexpr std::size_t maximum_gaps = 8;

instance_number key_of(registered_upstream const& entry)
{
    return entry.instance;
}

instance_number key_of(removed_upstream const& entry)
{
    return entry.instance;
}

std::pair<ipv4_address, std::uint16_t> key_of(published_route const& entry)
{
    return {entry.address, entry.port};
}

std::pair<ipv4_address, std::uint16_t> key_of(removed_route const& entry)
{
    return {entry.address, entry.port};
}

removed_upstream
remove_at(registered_upstream const& entry, document_version version)
{
    return {entry.instance, version};
}

removed_route remove_at(published_route const& entry, document_version version)
{
    return {entry.address, entry.port, version};
}

auto& entries_of(upstream_listing& listing)
{
    return listing.upstreams;
}

auto const& entries_of(upstream_listing const& listing)
{
    return listing.upstreams;
}

auto& entries_of(route_listing& listing)
{
    return listing.routes;
}

auto const& entries_of(route_listing const& listing)
{
    return listing.routes;
}

constexpr auto by_key = [](auto const& entry)
{
    return key_of(entry);
};

template <typename Entries>
Entries later_than(Entries const& all, document_version version)
{
    Entries chosen;
    for (auto const& entry : all)
    {
        if (entry.changed_at > version)
            chosen.push_back(entry);
    }
    return chosen;
}

/// The later entry of each key, of two sorted lists.
template <typename Entries>
Entries merge_later(Entries const& first, Entries const& second)
{
    Entries merged;
    merged.reserve(first.size() + second.size());
    std::ranges::merge(
        first, second, std::back_inserter(merged), {}, by_key, by_key);
    // Not the ranges' one: clang-tidy 14 cannot read what that returns.
    auto const last = std::unique(
        merged.begin(), merged.end(),
        [](auto& kept, auto& next)
        {
            if (key_of(kept) != key_of(next))
                return false;
            if (next.changed_at > kept.changed_at)
                kept = next;
            return true;
        });
    merged.erase(last, merged.end());
    return merged;
}

template <typename Entries, typename Key>
auto const* find_in(Entries const& entries, Key const& key)
{
    auto const found = std::ranges::lower_bound(entries, key, {}, by_key);
    bool const is_there = found != entries.end() && key_of(*found) == key;
    return is_there ? &*found : nullptr;
}

/// An entry that is there and one that left cancel each other: the later one
/// stays.
template <typename Entries, typename Removed>
void keep_later(Entries& entries, Removed& removed)
{
    std::erase_if(
        entries,
        [&removed](auto const& entry)
        {
            auto const* const gone = find_in(removed, key_of(entry));
            return gone != nullptr && gone->changed_at >= entry.changed_at;
        });
    std::erase_if(
        removed,
        [&entries](auto const& gone)
        {
            return find_in(entries, key_of(gone)) != nullptr;
        });
}

/// Entries of `held` that a whole listing of the version lacks.
template <typename Listing>
auto missing_from(
    Listing const& whole, Listing const& held, document_version version)
{
    std::remove_cvref_t<decltype(whole.removed)> missing;
    for (auto const& entry : entries_of(held))
    {
        bool const is_there =
            find_in(entries_of(whole), key_of(entry)) != nullptr;
        if (!is_there && entry.changed_at <= version)
            missing.push_back(remove_at(entry, version));
    }
    return missing;
}

template <typename Listing>
void forget_old_removals(Listing& held)
{
    if (held.removed.size() <= maximum_removed)
        return;
    auto by_age = held.removed;
    auto const middle = by_age.begin() + maximum_removed / 2;
    std::ranges::nth_element(
        by_age, middle, std::greater(),
        [](auto const& entry)
        {
            return entry.changed_at;
        });
    document_version const oldest = middle->changed_at;
    std::erase_if(
        held.removed,
        [oldest](auto const& entry)
        {
            return entry.changed_at <= oldest;
        });
    held.complete_since = std::max(held.complete_since, oldest);
}

upstream_listing begin_difference(upstream_listing const&)
{
    return {};
}

route_listing begin_difference(route_listing const& held)
{
    route_listing changed;
    changed.idle_timeout = held.idle_timeout;
    changed.warmups = held.warmups;
    return changed;
}

template <typename Listing>
bool can_tell_after(Listing const& held, document_version version)
{
    auto const holds = [version](version_gap const& gap)
    {
        return gap.after < version && version < gap.before;
    };
    return version >= held.complete_since &&
           std::ranges::none_of(held.gaps, holds);
}

template <typename Listing>
std::optional<Listing>
pick_changes(Listing const& held, document_version version)
{
    if (!can_tell_after(held, version))
        return std::nullopt;
    Listing changed = begin_difference(held);
    entries_of(changed) = later_than(entries_of(held), version);
    changed.removed = later_than(held.removed, version);
    changed.complete_since = version;
    changed.is_difference = true;
    std::ranges::copy_if(
        held.gaps, std::back_inserter(changed.gaps),
        [version](version_gap const& gap)
        {
            return gap.before > version;
        });
    return changed;
}

/// Without a bound each complete read would add one for good.
template <typename Listing>
void forget_old_gaps(Listing& held)
{
    std::erase_if(
        held.gaps,
        [&held](version_gap const& gap)
        {
            return gap.before <= held.complete_since;
        });
    while (held.gaps.size() > maximum_gaps)
    {
        held.complete_since =
            std::max(held.complete_since, held.gaps.front().before);
        held.gaps.erase(held.gaps.begin());
    }
}

void add_gap(std::vector<version_gap>& gaps, version_gap const& added)
{
    if (std::ranges::find(gaps, added) != gaps.end())
        return;
    auto const place =
        std::ranges::upper_bound(gaps, added.before, {}, &version_gap::before);
    gaps.insert(place, added);
}

/// What `told` does not say of the time between the two versions.
template <typename Listing>
void inherit_gaps(
    versioned_listing<Listing>& held, versioned_listing<Listing> const& told)
{
    if (!can_tell_after(told.listing, held.version))
        add_gap(held.listing.gaps, {held.version, told.version});
    for (version_gap const& gap : told.listing.gaps)
    {
        if (gap.before > held.version)
            add_gap(held.listing.gaps, gap);
    }
}

/// What is told, with versions of changes that fit what is held. Entries that
/// are as they are held keep theirs, and later differences stay short: whoever
/// has a version from the gap between both gets no difference. One that is not
/// has changed since, whatever its teller says: it may have passed over that
/// it changed and changed back. Taken for an old change, it would lose against
/// what is held, and a route would stay as an older version had it.
template <typename Listing>
auto entries_across_gap(
    versioned_listing<Listing> const& told,
    versioned_listing<Listing> const& held)
{
    auto entries = entries_of(told.listing);
    for (auto& entry : entries)
    {
        auto const* const known =
            find_in(entries_of(held.listing), key_of(entry));
        if (known != nullptr && is_alike(*known, entry))
            entry = *known;
        else if (entry.changed_at <= held.version)
            entry.changed_at = told.version;
    }
    return entries;
}

template <typename Listing>
void merge(
    versioned_listing<Listing>& held, versioned_listing<Listing> const& told)
{
    Listing& listing = held.listing;
    auto removed = merge_later(listing.removed, told.listing.removed);
    if (!told.listing.is_difference)
        removed = merge_later(
            removed, missing_from(told.listing, listing, told.version));
    bool const is_continued = can_tell_after(told.listing, held.version);
    entries_of(listing) = merge_later(
        entries_of(listing), is_continued ? entries_of(told.listing)
                                          : entries_across_gap(told, held));
    listing.removed = std::move(removed);
    keep_later(entries_of(listing), listing.removed);
    inherit_gaps(held, told);
    forget_old_removals(listing);
    forget_old_gaps(listing);
    held.version = told.version;
}

} // namespace

bool is_alike(
    registered_upstream const& first, registered_upstream const& second)
{
    registered_upstream compared = second;
    compared.cold_milliseconds = first.cold_milliseconds;
    compared.changed_at = first.changed_at;
    return compared == first;
}

bool is_alike(published_route const& first, published_route const& second)
{
    published_route compared = second;
    compared.changed_at = first.changed_at;
    return compared == first;
}

std::optional<upstream_listing>
changes_after(upstream_listing const& held, document_version version)
{
    return pick_changes(held, version);
}

std::optional<route_listing>
changes_after(route_listing const& held, document_version version)
{
    return pick_changes(held, version);
}

std::optional<evacuation_listing>
changes_after(evacuation_listing const&, document_version)
{
    return std::nullopt;
}

void take_in(
    versioned_listing<upstream_listing>& held,
    versioned_listing<upstream_listing> const& told)
{
    merge(held, told);
}

void take_in(
    versioned_listing<route_listing>& held,
    versioned_listing<route_listing> const& told)
{
    merge(held, told);
    held.listing.idle_timeout = told.listing.idle_timeout;
    held.listing.warmups = told.listing.warmups;
}

void take_in(
    versioned_listing<evacuation_listing>& held,
    versioned_listing<evacuation_listing> const& told)
{
    held = told;
}

} // namespace cairnhead
