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

/// Texts arrive in memory before they are judged; this bounds how many.
inline constexpr std::size_t maximum_fetches = 16;

/// Peers remembered for one wanted document.
inline constexpr std::size_t maximum_sources = 8;

/// A document that failed at every source this often no longer holds back a
/// joiner: one organisation's document must not keep the others waiting.
inline constexpr std::uint32_t rounds_until_given_up = 3;

/// Documents that someone has in a higher version than this VM, and who to
/// fetch them from: each announcer in turn, then the platform, again after a
/// back-off. What only vanished peers had is no longer wanted: it cannot be
/// had, and waiting for it would refuse what the others have.
/// Thread safety of all methods: none.
class fetch_queue
{
public:
    explicit fetch_queue(version_settings const& chosen);

    /// A peer holds this version. Precondition: it is above the one held.
    void note_peer(std::string_view name, vm_id peer, document_version version);

    /// The platform lists this version. Precondition: as `note_peer`.
    void note_platform(std::string_view name, document_version version);

    /// Forgets what peers other than these announced. No precondition.
    void keep_peers(std::span<document_peer const> peers);

    /// The highest version known of and not held. No precondition.
    [[nodiscard]] std::optional<document_version>
    wanted_version(std::string_view name) const;

    /// Names of all wanted documents. No precondition.
    [[nodiscard]] std::vector<std::string> names() const;

    /// This version is held now. No precondition.
    void satisfy(std::string_view name, document_version held);

    /// The source has no text to give. No precondition.
    void fail(std::string_view name, std::optional<vm_id> source);

    /// The source gave a lower version than is wanted now. It counts as tried
    /// only if it was asked for more than it gave. No precondition.
    void fail_lower(
        std::string_view name,
        std::optional<vm_id> source,
        document_version version);

    /// Gives up what is late and starts what may start. No precondition.
    void start_due(
        time_point now,
        platform_access access,
        version_random& random,
        effect_list& effects);

    /// Whether anything is wanted. No precondition.
    [[nodiscard]] bool empty() const;

    /// Whether anything is wanted that was not given up. No precondition.
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

    wanted_document& want(std::string_view name);
    static void
    retry_at_once(wanted_document& item, document_version earlier_target);
    static document_version get_target(wanted_document const& item);
    static bool
    was_tried(wanted_document const& item, std::optional<vm_id> source);
    static std::optional<std::optional<vm_id>> choose_source(
        std::string_view name,
        wanted_document const& item,
        platform_access access);
    void end_late(time_point now);
    void start(
        time_point now,
        std::string const& name,
        wanted_document& item,
        std::optional<vm_id> source,
        effect_list& effects);
    [[nodiscard]] std::size_t count_running() const;

    version_settings settings;
    std::map<std::string, wanted_document, std::less<>> wanted;
};

} // namespace cairnhead
