#pragma once

#include <event/effect.hpp>
#include <event/settings.hpp>
#include <versions/backoff.hpp>
#include <versions/document_peer.hpp>
#include <versions/platform_watch.hpp>

#include <absl/container/flat_hash_set.h>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cairnhead
{

/// Bounds how many fetches run at once, because their texts are held in memory
/// until they are validated.
inline constexpr std::size_t maximum_fetches = 16;

/// How many peers are remembered as sources of one wanted document.
inline constexpr std::size_t maximum_sources = 8;

/// A document that failed at every source in this many rounds no longer delays
/// a joiner: one organisation's document must not keep the others waiting.
inline constexpr std::uint32_t maximum_blocking_rounds = 3;

/// Fetches documents that a peer or the platform has in a higher version than
/// this VM: from each peer that announced the version in turn, then from the
/// platform, and again after a back-off. A version that only unreachable peers
/// had is no longer wanted: it cannot be fetched, and waiting for it would
/// refuse the versions that the other peers have.
///
/// No method has a precondition unless its comment states one; none is
/// thread-safe.
class fetch_queue
{
public:
    explicit fetch_queue(version_settings const& chosen);

    /// Records that a peer holds this version. Precondition: the version is
    /// above the one that this VM holds.
    void
    record_peer(std::string_view name, vm_id peer, document_version version);

    /// Records that the platform lists this version. Precondition: as for
    /// `record_peer`.
    void record_platform(std::string_view name, document_version version);

    /// Removes the announcements of all peers but these.
    void keep_peers(std::span<document_peer const> peers);

    /// The highest version that this VM knows of and does not hold.
    [[nodiscard]] std::optional<document_version>
    wanted_version(std::string_view name) const;

    /// Names of all wanted documents.
    [[nodiscard]] std::vector<std::string> names() const;

    /// Records that this VM holds this version now.
    void satisfy(std::string_view name, document_version held);

    /// The source has no text of the document.
    void fail(std::string_view name, std::optional<vm_id> source);

    /// The source returned a lower version than is wanted now. It counts as
    /// tried only if a higher version was requested than it returned.
    void fail_lower(
        std::string_view name,
        std::optional<vm_id> source,
        document_version version);

    /// Ends the fetches that have timed out and starts those that are due.
    void start_due(
        time_point now,
        platform_access access,
        version_random& random,
        effect_list& effects);

    /// Whether no document is wanted.
    [[nodiscard]] bool empty() const;

    /// Whether a document is wanted that has not yet failed in
    /// `maximum_blocking_rounds` rounds.
    [[nodiscard]] bool is_blocking() const;

private:
    struct announcement
    {
        vm_id peer;
        document_version version;
    };
    struct attempt
    {
        std::optional<vm_id> source;
        document_version version;
        time_point deadline;
    };
    struct wanted_document
    {
        explicit wanted_document(backoff const& fresh) : delay(fresh)
        {
        }

        std::vector<announcement> peers;
        document_version platform_version;
        std::optional<attempt> running;
        std::vector<std::optional<vm_id>> tried;
        backoff delay;
        time_point next_start;
    };

    /// The order in which fetches start. What comes from one peer shares a
    /// connection, whose answers follow one another. Without the upstreams a VM
    /// forwards nothing, and the routes take .4 s on a link of 10 Mbit/s.
    struct urgency
    {
        using is_transparent = void;

        [[nodiscard]] bool
        operator()(std::string_view first, std::string_view second) const;
    };

    wanted_document& find_or_add(std::string_view name);
    static void
    retry_at_once(wanted_document& item, document_version earlier_target);
    static document_version get_target(wanted_document const& item);
    static bool
    was_tried(wanted_document const& item, std::optional<vm_id> source);
    static std::optional<std::optional<vm_id>> choose_source(
        std::string_view name,
        wanted_document const& item,
        platform_access access);
    void end_timed_out(time_point now);
    void start(
        time_point now,
        std::string const& name,
        wanted_document& item,
        std::optional<vm_id> source,
        effect_list& effects);
    [[nodiscard]] std::size_t count_running() const;

    version_settings settings;
    std::map<std::string, wanted_document, urgency> wanted;
};

} // namespace cairnhead
