#pragma once

#include <event/effect.hpp>
#include <event/event.hpp>
#include <event/settings.hpp>
#include <model/directory.hpp>

#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>

namespace cairnhead
{

/// A peer that documents may be fetched from or announced to.
struct document_peer
{
    vm_id id;
    failure_domain_id domain;
};

/// Which declarations are in force: the highest version seen of each
/// document, whoever sent it. Few VMs of each failure domain watch the
/// platform; the others learn from peers.
///
/// A version never falls: a lower one is ignored, even from the platform.
/// A document that is not valid keeps its organisation at the last good
/// version and holds back nobody else; its version is remembered so that it
/// is not fetched again.
/// Thread safety of all methods: none; one thread, the reducer's.
class version_store
{
public:
    version_store(
        version_settings const& settings,
        vm_identity const& self,
        std::uint64_t random_seed);

    /// Which peers are reachable now. Decides whether this VM is a reader.
    void set_peers(time_point now, std::span<document_peer const> peers);

    /// Starts and repeats watches and fetches, with back-off and jitter.
    void tick(time_point now, effect_list& effects);

    void
    receive(time_point now, platform_listed const& event, effect_list& effects);
    void
    receive(time_point now, platform_failed const& event, effect_list& effects);
    void receive(
        time_point now, document_fetched const& event, effect_list& effects);
    void receive(
        time_point now,
        document_fetch_failed const& event,
        effect_list& effects);
    void receive(
        time_point now,
        vm_id sender,
        document_listing const& message,
        effect_list& effects);

    /// A peer's digest differs from ours: ask for its listing (rate limited).
    void compare_digest(
        time_point now, vm_id peer, std::uint64_t digest, effect_list& effects);

    /// Hash over all (name, highest seen version); equal digests mean equal
    /// documents.
    [[nodiscard]] std::uint64_t digest() const;

    /// The services and upstreams in force. Never null.
    [[nodiscard]] std::shared_ptr<directory const> current() const;

    /// Grows by one with each change of `current()`.
    [[nodiscard]] std::uint64_t generation() const;

    /// The newest good text of a document, to serve peers.
    struct stored_document
    {
        document_version version;
        std::shared_ptr<std::string const> text;
    };
    [[nodiscard]] std::optional<stored_document>
    find_document(std::string_view name) const;

    /// Names with highest seen versions, sorted by name.
    [[nodiscard]] std::vector<document_stamp> stamps() const;

    /// Whether this VM holds every document at the highest version that any
    /// listing heard so far has named, and has heard at least one listing
    /// (or waited `join_timeout` in vain while holding documents). A joiner
    /// places nothing new before this is true.
    [[nodiscard]] bool is_caught_up(time_point now) const;

    /// Whether this VM watches the platform.
    [[nodiscard]] bool is_reader() const;

private:
    version_settings settings;
    vm_identity self;
    // The implementation adds its state here.
};

} // namespace cairnhead
