#include <versions/registry_documents.hpp>

#include <algorithm>
#include <utility>

namespace cairnhead
{

namespace
{

void decode(std::string_view text, route_listing& listing)
{
    listing = decode_routes(text);
}

void decode(std::string_view text, upstream_listing& listing)
{
    listing = decode_upstreams(text);
}

void decode(std::string_view text, evacuation_listing& listing)
{
    listing = decode_evacuations(text);
}

std::size_t count_entries(route_listing const& listing)
{
    return listing.routes.size();
}

std::size_t count_entries(upstream_listing const& listing)
{
    return listing.upstreams.size();
}

std::size_t count_entries(evacuation_listing const& listing)
{
    return listing.domains.size();
}

template <typename Listing>
std::size_t count_changes(Listing const& received)
{
    return count_entries(received) + received.removed.size();
}

std::size_t count_changes(evacuation_listing const& received)
{
    return count_entries(received);
}

void mark_as_full(evacuation_listing&)
{
}

template <typename Listing>
void mark_as_full(Listing& received)
{
    received.is_difference = false;
}

template <typename Held>
document_version version_of(Held const& held)
{
    return held == nullptr ? document_version() : held->version;
}

/// Shares the ownership of the versioned listing.
template <typename Listing>
std::shared_ptr<Listing const>
listing_of(std::shared_ptr<versioned_listing<Listing> const> const& held)
{
    if (held == nullptr)
        return nullptr;
    return {held, &held->listing};
}

template <typename Document>
std::shared_ptr<std::string const>
make_text(Document const& document, document_version requester_version)
{
    if (document.held == nullptr)
        return nullptr;
    auto const& full = document.held->listing;
    auto const changes = requester_version == document_version()
                             ? std::nullopt
                             : changes_after(full, requester_version);
    if (changes)
        return std::make_shared<std::string const>(encode_listing(*changes));
    if (document.full_text == nullptr)
        document.full_text =
            std::make_shared<std::string const>(encode_listing(full));
    return document.full_text;
}

} // namespace

template <typename Visitor>
auto registry_documents::visit(
    std::string_view name, Visitor const& visitor) const
{
    if (name == route_document_name)
        return visitor(this->route_document);
    if (name == upstream_document_name)
        return visitor(this->upstream_document);
    return visitor(this->evacuation_document);
}

document_version registry_documents::version_of(std::string_view name) const
{
    return this->visit(
        name,
        [](auto const& document)
        {
            return cairnhead::version_of(document.held);
        });
}

document_version
registry_documents::highest_seen_version(std::string_view name) const
{
    return this->visit(
        name,
        [](auto const& document)
        {
            return std::max(
                cairnhead::version_of(document.held),
                document.highest_rejected);
        });
}

registry_outcome registry_documents::store(
    std::string_view name,
    document_version version,
    std::string_view text,
    effect_list& effects)
{
    if (name == route_document_name)
        return decode_and_apply(
            this->route_document, name, version, text, effects);
    if (name == upstream_document_name)
        return decode_and_apply(
            this->upstream_document, name, version, text, effects);
    return decode_and_apply(
        this->evacuation_document, name, version, text, effects);
}

template <typename Listing>
registry_outcome registry_documents::decode_and_apply(
    held_document<Listing>& target,
    std::string_view name,
    document_version version,
    std::string_view text,
    effect_list& effects)
{
    versioned_listing<Listing> received{version, {}};
    try
    {
        decode(text, received.listing);
    }
    catch (registry_rejected const&)
    {
        if (version > target.highest_rejected)
            effects.push_back(report{
                report_kind::document_rejected,
                std::string(name),
                {},
                {{"version", std::to_string(version.value())},
                 {"error", "unreadable_listing"}}});
        target.highest_rejected = std::max(target.highest_rejected, version);
        return registry_outcome::rejected;
    }
    return apply(target, std::move(received), name, effects);
}

template <typename Listing>
registry_outcome registry_documents::apply(
    held_document<Listing>& target,
    versioned_listing<Listing> received,
    std::string_view name,
    effect_list& effects)
{
    target.full_text.reset();
    document_version const version_before = cairnhead::version_of(target.held);
    if (received.version <= version_before)
        return registry_outcome::rejected;
    if (!follows(received.listing, version_before))
        return registry_outcome::does_not_follow;
    std::size_t const change_count = count_changes(received.listing);
    if (target.held == nullptr)
    {
        mark_as_full(received.listing);
        target.held = std::make_shared<versioned_listing<Listing> const>(
            std::move(received));
    }
    else
    {
        auto merged =
            std::make_shared<versioned_listing<Listing>>(*target.held);
        take_in(*merged, received);
        target.held = std::move(merged);
    }
    effects.push_back(report{
        report_kind::document_in_force,
        std::string(name),
        {},
        {{"version", std::to_string(target.held->version.value())},
         {"follows", std::to_string(version_before.value())},
         {"entries", std::to_string(count_entries(target.held->listing))},
         {"changed", std::to_string(change_count)}}});
    return registry_outcome::in_force;
}

std::shared_ptr<std::string const> registry_documents::text_for(
    std::string_view name, document_version requester_version) const
{
    return this->visit(
        name,
        [requester_version](auto const& document)
        {
            return make_text(document, requester_version);
        });
}

std::vector<document_stamp> registry_documents::stamps() const
{
    std::vector<document_stamp> all;
    for (std::string_view const name :
         {evacuation_document_name, route_document_name,
          upstream_document_name})
    {
        document_version const version = this->version_of(name);
        if (version != document_version())
            all.push_back({std::string(name), version});
    }
    return all;
}

registry_snapshot
registry_documents::snapshot(platform_index complete_up_to) const
{
    return {
        complete_up_to, this->route_document.held, this->upstream_document.held,
        this->evacuation_document.held};
}

registry_contents registry_documents::contents() const
{
    return {
        listing_of(this->route_document.held),
        listing_of(this->upstream_document.held),
        listing_of(this->evacuation_document.held)};
}

} // namespace cairnhead
