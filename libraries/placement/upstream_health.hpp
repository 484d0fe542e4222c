#pragma once

#include <event/settings.hpp>

#include <cstdint>
#include <optional>

namespace cairnhead
{

/// Tracks the health of one upstream as this VM observes it in the callers'
/// packets: answered and unanswered openings, and the latency of the answers.
/// No method has a precondition; none is thread-safe.
class upstream_health
{
public:
    /// The caller confirmed an answer. Returns whether this ends an ejection
    /// that was logged and not yet logged as ended.
    [[nodiscard]] bool confirm(time_point now, duration latency);

    /// An opening was retransmitted without an answer in between.
    void record_unanswered();

    /// Whether the consecutive failures are enough to eject the upstream. A
    /// failed probe counts as one failure, and only in addition to unanswered
    /// openings: a health endpoint alone may mislead.
    [[nodiscard]] bool should_eject(
        time_point now,
        placement_settings const& settings,
        bool is_probe_failed) const;

    /// Ejects the upstream and returns when the ejection ends. Its length
    /// doubles with each ejection that follows soon after the previous one.
    time_point eject(time_point now, placement_settings const& settings);

    /// Whether the upstream is ejected now.
    [[nodiscard]] bool is_ejected(time_point now) const;

    /// Returns when the latest ejection ends or ended.
    [[nodiscard]] time_point ejected_until() const;

    /// Returns the moving average of the answers' latency, if there were any
    /// answers.
    [[nodiscard]] std::optional<duration> latency() const;

private:
    std::uint32_t failures = 0;
    std::uint32_t ejections = 0;
    bool is_reported_ejected = false;
    time_point ejection_end;
    /// A confirmation after this time resets the count of ejections.
    time_point ejection_count_resets_at;
    std::optional<duration> average_latency;
};

} // namespace cairnhead
