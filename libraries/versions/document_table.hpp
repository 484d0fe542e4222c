#pragma once

#include <event/effect.hpp>
#include <model/directory.hpp>
#include <versions/parsed_document.hpp>
#include <versions/registry_documents.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cairnhead
{

/// Documents beyond this number are ignored, so that memory stays bounded.
inline constexpr std::size_t maximum_documents = 4096;

/// Longer texts are ignored; the platform stores values of up to a megabyte.
inline constexpr std::size_t maximum_text_bytes = std::size_t{1} << 20;

/// One version of a document.
struct document_text
{
    document_version version;
    std::shared_ptr<std::string const> text;
    std::shared_ptr<parsed_document const> parsed;
};

/// Stores all documents that this VM holds, and decides which are in force. For
/// each document it holds the newest text, and the newest text that was ever
/// accepted, here or by a peer.
///
/// Versions never fall. A document that disappears from the platform's listing
/// stays: a removal has no version, so it cannot be told from a stale or broken
/// listing. The document is removed from force when the allotment no longer
/// contains its organisation.
///
/// No method has a precondition unless its comment states one; none is
/// thread-safe.
class document_table
{
public:
    /// The version held under a listed name; zero if there is none. For the
    /// name of an accepted text: the newest version that was accepted or found
    /// unreadable here. Precondition: `is_listed_name(name)`.
    [[nodiscard]] document_version held_version(std::string_view name) const;

    /// Whether a document of this name is held or may be added.
    [[nodiscard]] bool has_room_for(std::string_view name) const;

    /// Stores a text, and reports what comes into force or is rejected. Returns
    /// whether the text could be used: a difference that does not follow the
    /// version held cannot. Precondition: `is_listed_name(name)`, the version
    /// is above `held_version(name)`, and `has_room_for` the document's name.
    bool store(
        std::string_view name,
        document_version version,
        std::string text,
        effect_list& effects);

    /// The version of the text that `find` returns; zero for none.
    [[nodiscard]] document_version version_of_text(std::string_view name) const;

    /// The text held under a listed name, or nullptr. For a registry document,
    /// only the changes since `requester_version` where they are known.
    [[nodiscard]] std::shared_ptr<std::string const>
    find(std::string_view name, document_version requester_version) const;

    /// The names and versions of the texts held, sorted by name, as they are
    /// sent to peers.
    [[nodiscard]] std::vector<document_stamp> stamps() const;

    /// Hash over `stamps()`.
    [[nodiscard]] std::uint64_t digest() const;

    /// Whether the documents in force changed since the last `compile`.
    [[nodiscard]] bool needs_compile() const;

    /// The services and upstreams of all documents in force.
    [[nodiscard]] directory compile();

    /// The registry's documents.
    [[nodiscard]] registry_documents const& registry() const;

    /// Whether no text is held at all.
    [[nodiscard]] bool empty() const;

private:
    struct record
    {
        document_text newest;
        document_text accepted;
        /// The newest accepted text that peers sent and that cannot be read
        /// here (their release may differ); it is not fetched again.
        document_version unreadable_version;
        bool is_newest_valid = false;
        /// The rejection that was last reported to operators.
        std::optional<std::string> reported_rejection;
        /// Zero while the document is out of force.
        document_version version_in_force;
        std::optional<organisation_document> in_force;
    };

    static void store_accepted(record& target, document_text const& text);
    bool store_registry_text(
        std::string_view name,
        document_version version,
        std::string_view text,
        effect_list& effects);
    void store_declaration(
        std::string_view name,
        document_version version,
        std::string text,
        effect_list& effects);
    [[nodiscard]] document_text const*
    find_declaration(std::string_view name) const;
    void validate(std::string_view name, record& target, effect_list& effects);
    static void record_validation(
        std::string_view name,
        record& target,
        std::optional<declaration_error> const& error,
        effect_list& effects);
    void validate_allotment(effect_list& effects);
    void validate_all(effect_list& effects);
    void update_in_force(
        std::string_view name, record& target, effect_list& effects);
    [[nodiscard]] record const* find_record(std::string_view name) const;

    std::map<std::string, record, std::less<>> records;
    registry_documents registered;
    std::shared_ptr<parsed_document const> allotment_in_force;
    /// Absent after a change; cached because every ping carries the digest.
    mutable std::optional<std::uint64_t> cached_digest;
    bool is_changed = false;
};

} // namespace cairnhead
