#pragma once

#include <event/effect.hpp>
#include <registry/registry_snapshot.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cairnhead
{

/// The result of storing a registry document's text.
enum class registry_outcome : std::uint8_t
{
    in_force,
    /// The text is a difference to a later version than the one held; the full
    /// document is needed.
    does_not_follow,
    /// The text cannot be read, or its version is not above the one held.
    rejected,
};

/// Holds the registry's documents. A text contains either a full document or
/// its changes since a version. A text that cannot be read or does not follow
/// the version held leaves that version in force.
///
/// No method has a precondition unless its comment states one; none is
/// thread-safe.
class registry_documents
{
public:
    /// The version held; zero for none. Precondition: `is_registry_name(name)`.
    [[nodiscard]] document_version version_of(std::string_view name) const;

    /// The highest version that was held or rejected. Precondition:
    /// `is_registry_name(name)`.
    [[nodiscard]] document_version
    highest_seen_version(std::string_view name) const;

    /// Stores a text, and reports what comes into force or is rejected.
    /// Precondition: `is_registry_name(name)`.
    registry_outcome store(
        std::string_view name,
        document_version version,
        std::string_view text,
        effect_list& effects);

    /// A text for a VM that holds `requester_version` of the document: the
    /// changes since then where they are known and shorter, the full document
    /// otherwise. Returns nullptr if none is held. Precondition:
    /// `is_registry_name(name)`.
    [[nodiscard]] std::shared_ptr<std::string const>
    text_for(std::string_view name, document_version requester_version) const;

    /// The names and versions of the documents held.
    [[nodiscard]] std::vector<document_stamp> stamps() const;

    /// The documents, marked as containing everything that the platform
    /// published up to `complete_up_to`.
    [[nodiscard]] registry_snapshot
    snapshot(platform_index complete_up_to) const;

    /// The documents in force.
    [[nodiscard]] registry_contents contents() const;

private:
    template <typename Listing>
    struct held_document
    {
        std::shared_ptr<versioned_listing<Listing> const> held;
        document_version highest_rejected;
        /// The encoded full document, cached at the first request: when many
        /// VMs start, all request the same text.
        mutable std::shared_ptr<std::string const> full_text;
    };

    template <typename Listing>
    static registry_outcome apply(
        held_document<Listing>& target,
        versioned_listing<Listing> received,
        std::string_view name,
        effect_list& effects);
    template <typename Listing>
    static registry_outcome decode_and_apply(
        held_document<Listing>& target,
        std::string_view name,
        document_version version,
        std::string_view text,
        effect_list& effects);

    /// Calls the visitor with the document of that name.
    template <typename Visitor>
    auto visit(std::string_view name, Visitor const& visitor) const;

    held_document<route_listing> route_document;
    held_document<upstream_listing> upstream_document;
    held_document<evacuation_listing> evacuation_document;
};

} // namespace cairnhead
