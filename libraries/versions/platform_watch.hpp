#pragma once

#include <event/effect.hpp>
#include <event/settings.hpp>
#include <versions/backoff.hpp>

#include <optional>

namespace cairnhead
{

/// How much this VM is to read from the platform now.
enum class platform_access : std::uint8_t
{
    none,
    /// The first page only.
    first_page,
    reading,
};

/// Watches the platform: one blocking call after another, with back-off while
/// calls fail.
///
/// No method has a precondition unless its comment states one; none is
/// thread-safe.
class platform_watch
{
public:
    explicit platform_watch(version_settings const& chosen);

    /// Starts the next watch when it is due.
    void tick(
        time_point now,
        platform_access access,
        version_random& random,
        effect_list& effects);

    /// The platform answered a watch. Late answers count as well.
    void listed(
        time_point now,
        platform_index index,
        version_random& random,
        effect_list& effects);

    /// The platform holds more than one page: ends the watch that was to read
    /// only the first one.
    void end_first_page_read();

    /// A watch failed.
    void failed(time_point now, version_random& random, effect_list& effects);

    /// Starts the next watch at the next tick, even while one is in progress:
    /// the one in progress may hang.
    void restart(time_point now);

    /// Whether the platform ever answered.
    [[nodiscard]] bool has_answered() const;

private:
    void start(time_point now, platform_access access, effect_list& effects);

    duration wait;
    backoff delay;
    platform_index after;
    /// When the watch in progress counts as failed; none without a watch.
    std::optional<time_point> deadline;
    /// An answer without changes before this time is too early and backs off.
    time_point early_until;
    time_point next_start;
    bool was_answered = false;
    bool is_unreachable = false;
};

} // namespace cairnhead
