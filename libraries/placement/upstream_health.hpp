#pragma once

#include <event/settings.hpp>

#include <cstdint>
#include <optional>

namespace cairnhead
{

/// What this VM saw of one upstream in the callers' packets: answered and
/// unanswered openings, and how long the answers took.
/// Thread safety of all methods: none.
class upstream_health
{
public:
    /// The caller confirmed an answer. Returns whether this ends an ejection
    /// that was reported and not yet taken back. No precondition.
    [[nodiscard]] bool confirm(time_point now, duration latency);

    /// An opening was repeated without an answer in between. No precondition.
    void note_unanswered();

    /// Whether the failures in a row are enough to eject. A failed probe
    /// counts as one failure and only beside unanswered openings: a health
    /// endpoint alone may mislead. No precondition.
    [[nodiscard]] bool should_eject(
        time_point now,
        placement_settings const& settings,
        bool is_probe_failed) const;

    /// Ejects until the returned time. The time doubles with each ejection
    /// that follows soon after the one before. No precondition.
    time_point eject(time_point now, placement_settings const& settings);

    /// Whether it is ejected now. No precondition.
    [[nodiscard]] bool is_ejected(time_point now) const;

    /// When the latest ejection ends or ended. No precondition.
    [[nodiscard]] time_point ejected_until() const;

    /// The moving average of the answers' latency, if any came.
    /// No precondition.
    [[nodiscard]] std::optional<duration> latency() const;

private:
    std::uint32_t failures = 0;
    std::uint32_t ejections = 0;
    bool is_reported_ejected = false;
    time_point ejection_end;
    /// A confirmation after this forgives earlier ejections.
    time_point forgiven_at;
    std::optional<duration> average_latency;
};

} // namespace cairnhead
