#pragma once

#include <registry/registry.hpp>

#include <optional>

/// Differences between versions of a registry's listing.
///
/// Each entry, also one that left, carries the version of its last change. A
/// VM that is at some version needs the entries that changed after it, whoever
/// it got that version from: of one version there is only one content. So no
/// chain of differences has to be kept or followed, and any VM can tell any
/// other what it lacks.
namespace cairnhead
{

/// Whether VMs decide alike by both. How long an upstream stays cold counts
/// only at its first registration: it falls all the time. Thread safety: no
/// shared state.
[[nodiscard]] bool
is_alike(registered_upstream const& first, registered_upstream const& second);
[[nodiscard]] bool
is_alike(published_route const& first, published_route const& second);

/// What changed after the version; nothing where the listing does not know it
/// one by one: then the whole is needed. Precondition: the listing is no
/// difference. Thread safety: no shared state.
[[nodiscard]] std::optional<upstream_listing>
changes_after(upstream_listing const& held, document_version version);
[[nodiscard]] std::optional<route_listing>
changes_after(route_listing const& held, document_version version);

/// Always nothing: this listing is told as a whole.
[[nodiscard]] std::optional<evacuation_listing>
changes_after(evacuation_listing const& held, document_version version);

/// Whether what is told can be taken in by a holder of that version: a whole
/// always, a difference unless it begins after it. Thread safety: no shared
/// state.
template <typename Listing>
[[nodiscard]] bool follows(Listing const& told, document_version version)
{
    return !told.is_difference || told.complete_since <= version;
}

[[nodiscard]] inline bool follows(evacuation_listing const&, document_version)
{
    return true;
}

/// A listing with the version that it is at.
template <typename Listing>
struct versioned_listing
{
    document_version version;
    Listing listing;
};

/// Takes a difference or another whole listing in. Of each entry the later
/// change stays. Precondition: `held` is no difference, `told` follows it and
/// has no lower version. Thread safety: no shared state.
void take_in(
    versioned_listing<upstream_listing>& held,
    versioned_listing<upstream_listing> const& told);
void take_in(
    versioned_listing<route_listing>& held,
    versioned_listing<route_listing> const& told);
void take_in(
    versioned_listing<evacuation_listing>& held,
    versioned_listing<evacuation_listing> const& told);

} // namespace cairnhead
