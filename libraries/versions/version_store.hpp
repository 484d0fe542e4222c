#pragma once

#include <event/effect.hpp>
#include <event/event.hpp>
#include <event/settings.hpp>
#include <model/directory.hpp>
#include <versions/backoff.hpp>
#include <versions/document_peer.hpp>
#include <versions/document_table.hpp>
#include <versions/fetch_queue.hpp>
#include <versions/join_queue.hpp>
#include <versions/joining.hpp>
#include <versions/platform_watch.hpp>
#include <versions/reader_election.hpp>
#include <versions/relayed_changes.hpp>

#include <absl/container/flat_hash_map.h>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace cairnhead
{

/// Decides which declarations are in force: for each document, the highest
/// version received from any source. A few readers in each failure domain watch
/// the platform; all other VMs get documents from peers. A change of a registry
/// document is disseminated along a tree as a difference. A VM that missed a
/// change notices that its digest differs from its peers' and requests a
/// listing (anti-entropy).
///
/// A version never falls: a lower one is ignored, even if it comes from the
/// platform. An invalid document leaves its organisation at the last valid
/// version and affects no other organisation. Its text is still stored and sent
/// to peers, so that all VMs reach the same validation result and none fetches
/// it again. The last accepted text is sent along with it, for VMs that join
/// later.
///
/// A document that disappears from the platform's listing stays in force: a
/// removal has no version, so it cannot be told from an old or broken
/// listing. The document is removed when the allotment no longer contains its
/// organisation. When the allotment changes, all documents are validated
/// against it again; addresses that it takes from an organisation are out of
/// force at once, the rest stays.
///
/// A VM that is not a reader nevertheless reads the platform while it hears
/// from no reader (`reader_election`), and when documents have been missing
/// here for `join_timeout` and none arrived. A VM that has just started gets
/// its documents from VMs that other VMs refer it to (`joining`, `join_queue`).
///
/// No method has a precondition unless its comment states one. No method is
/// thread-safe: all are called on the reducer's thread.
class version_store
{
public:
    /// Precondition: `readers_per_domain` is above zero; `backoff_minimum` is
    /// above zero and not above `backoff_maximum`.
    version_store(
        version_settings const& chosen,
        vm_identity const& own,
        std::uint64_t random_seed);

    /// Starts the join: requests documents from the peers that were set before.
    /// `is_seed` is true if other VMs send their join requests to this VM
    /// first, or if this VM knows no peer. Precondition: called once.
    void start(time_point now, bool is_seed, effect_list& effects);

    /// When `advance` should be called; nothing if it need not be.
    [[nodiscard]] std::optional<time_point> next_due() const;

    /// Does the work that is due at `now`.
    void advance(time_point now, effect_list& effects);

    /// Sets the peers that are reachable now, without this VM. The set decides
    /// whether this VM is a reader. Versions that only removed peers had are no
    /// longer waited for.
    void set_peers(time_point now, std::span<document_peer const> peers);

    /// Starts and retries watches and fetches, with back-off and jitter.
    void tick(time_point now, effect_list& effects);

    /// Handle answers of the platform and of peers. Late and duplicate answers
    /// do no harm.
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

    /// Handles a change of a registry document that a peer disseminates.
    void receive(
        time_point now,
        vm_id sender,
        registry_change const& message,
        effect_list& effects);

    /// Handles an answer of the platform to a call of this VM.
    void receive(
        time_point now, platform_answered const& event, effect_list& effects);

    /// Handles the heartbeat of a reader that got an answer from the platform.
    void receive(
        time_point now,
        vm_id sender,
        reading_heartbeat const& message,
        effect_list& effects);

    /// Handles the announcement of a VM that it calls the platform because it
    /// heard from no reader.
    void receive(
        time_point now,
        vm_id sender,
        reading_attempt const& message,
        effect_list& effects);

    /// Handle joins: a VM without documents requests them, and gets a referral
    /// to VMs that hold them.
    void receive(
        time_point now,
        vm_id sender,
        join_request const& message,
        effect_list& effects);
    void receive(
        time_point now,
        vm_id sender,
        join_referral const& message,
        effect_list& effects);

    /// Requests the peer's listing if its digest has differed from ours for a
    /// while; the requests to each peer are rate-limited.
    void compare_digest(
        time_point now, vm_id peer, std::uint64_t digest, effect_list& effects);

    /// Hash over `stamps()`; equal digests mean equal documents.
    [[nodiscard]] std::uint64_t digest() const;

    /// The services and upstreams in force. Never null.
    [[nodiscard]] std::shared_ptr<directory const> current() const;

    /// The registry's documents in force.
    [[nodiscard]] registry_contents registered() const;

    /// The version of a document that peers may fetch; zero for none.
    [[nodiscard]] document_version version_of(std::string_view name) const;

    /// Grows by one with each change of the directory in force.
    [[nodiscard]] std::uint64_t generation() const;

    /// A text that peers may fetch.
    struct stored_document
    {
        document_version version;
        std::shared_ptr<std::string const> text;
    };
    /// The newest text held under a name that `stamps()` lists, even if it was
    /// rejected here: peers validate it themselves. For a registry document,
    /// only the changes since `requester_version` where they are known.
    [[nodiscard]] std::optional<stored_document> find_document(
        std::string_view name, document_version requester_version = {}) const;

    /// Names and versions of the texts held, sorted by name. While a document's
    /// newest text is rejected, its last accepted text has a stamp of its own,
    /// `NAME#accepted`.
    [[nodiscard]] std::vector<document_stamp> stamps() const;

    /// Whether this VM holds every document at the highest version that any
    /// listing so far has named and that is still available, and has received a
    /// peer's documents. If no peer answers, then after `join_timeout` the
    /// platform's listing suffices, or documents that are held already. A
    /// document that failed at all its sources several times is not waited for.
    /// A joiner places no new flow before this is true.
    ///
    /// NOTE: This turns false for a moment with each new version, so it must
    /// gate joining only, not the placement of a VM that has joined.
    [[nodiscard]] bool is_caught_up(time_point now) const;

    /// Whether this VM watches the platform.
    [[nodiscard]] bool is_reader() const;

private:
    void ensure_deadlines(time_point now);
    void send_join_requests(time_point now, effect_list& effects);
    void start_upstreams_read(time_point now, effect_list& effects);
    void send_join_request(
        vm_id peer, join_request const& request, effect_list& effects) const;
    void serve_joiners(time_point now, effect_list& effects);
    void record_completeness(document_listing const& listing);
    void update_completeness();
    [[nodiscard]] bool holds(document_stamp const& stamp) const;
    void
    send_listing(vm_id peer, listing_kind kind, effect_list& effects) const;
    void request_listing(time_point now, vm_id peer, effect_list& effects);
    void report_staleness(platform_listed const& event, effect_list& effects);
    [[nodiscard]] document_version
    highest_known_version(std::string_view name) const;
    [[nodiscard]] bool is_useful(document_stamp const& stamp) const;
    /// Returns whether the text could be used.
    bool store_text(
        time_point now,
        std::string_view name,
        document_version version,
        std::string const& text,
        effect_list& effects);
    void store_fetched(
        time_point now, document_fetched const& event, effect_list& effects);
    void reject_text(document_fetched const& event, effect_list& effects);
    void start_fetches(time_point now, effect_list& effects);
    [[nodiscard]] bool is_from_own_domain(std::optional<vm_id> source) const;
    void start_dissemination(
        registry_document document,
        document_version version_before,
        effect_list& effects);
    /// Precondition: `is_registry_name(name)`.
    void disseminate(
        std::string_view name,
        document_version version_before,
        std::optional<vm_id> source,
        effect_list& effects);
    void relay(registry_change const& change, effect_list& effects);
    void satisfy_fetches(std::string_view stored_name);
    void compile_and_announce(effect_list& effects);
    void compile();
    void announce(effect_list& effects);
    [[nodiscard]] bool is_propagating(time_point now);
    void update_access(time_point now);
    void report_reader_role(time_point now, effect_list& effects);
    [[nodiscard]] std::optional<registry_snapshot> make_snapshot() const;

    version_settings settings;
    vm_identity self;
    version_random random;
    std::vector<document_peer> peers;
    document_table documents;
    fetch_queue fetches;
    platform_watch watch;
    reader_election election;
    joining join;
    join_queue joiners;
    std::shared_ptr<directory const> in_force;
    std::uint64_t directory_generation = 0;
    /// Names of texts that were received and not yet announced to peers.
    std::vector<std::string> unannounced;
    relayed_changes relays;
    /// When a listing may be requested from each peer again.
    absl::flat_hash_map<vm_id, time_point> next_listing_requests;
    /// Set by the first event.
    std::optional<time_point> join_deadline;
    /// Set by `start`.
    std::optional<time_point> join_due_at;
    /// When documents are still missing at this time, this VM reads the
    /// platform itself.
    time_point progress_deadline;
    /// When the documents held here last changed, and since and until when
    /// peers' digests have differed from ours.
    time_point documents_changed_at;
    std::optional<time_point> digests_differ_since;
    time_point digests_differed_until;
    /// The registry held here contains everything that the platform published
    /// up to this index.
    platform_index complete_up_to;
    /// A peer's listing with a higher `complete_up_to`, which becomes ours once
    /// all documents of the listing are held here.
    std::optional<document_listing> pending_completeness;
    platform_access access = platform_access::none;
    /// The text that was last reported as too long; each retry would report it.
    std::optional<document_stamp> reported_too_long;
    /// The reader role that was last reported to operators.
    bool was_reported_as_reader = false;
    bool has_peer_answered = false;
    bool is_platform_reported_stale = false;
};

} // namespace cairnhead
