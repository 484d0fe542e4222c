#pragma once

#include <base/time.hpp>
#include <event/event.hpp>
#include <event/settings.hpp>

#include <cstdint>
#include <optional>
#include <variant>

namespace cairnhead
{

/// What the result of a check changed.
enum class reach_change : std::uint8_t
{
    none,
    /// The check got no answer. Only now may flows at the upstream be ended.
    found_unreachable,
    /// The upstream was considered unreachable, but is reachable.
    found_reachable,
};

/// State machine by which one VM decides whether an upstream is reachable.
///
///             retransmission            check starts
///    answering ------------> silent -----------------> checking
///        ^                   ^    ^                     |
///        | answer, accepted  |    | inconclusive        | no answer, but one
///        +-------------------+    +---------------------+ from a reference
///        |                   | expires                  v upstream
///        +-------------------+--------------------- unreachable
///
/// An answer to a caller leads to `answering` from every state and invalidates
/// a running check, so that no check counts against an upstream that answered
/// after the check began. A flow is ended only when a check ends, never because
/// of an older result: that would reset the first packet of a flow opened
/// through another VM, after the network partition has healed.
/// No method has a precondition unless its comment states one; none is
/// thread-safe.
class upstream_reach
{
public:
    /// Records that the upstream answered a caller at `at`.
    void record_answered(time_point at);

    /// Records that a caller retransmitted, or that an opening was not
    /// answered.
    void record_silence(time_point now);

    /// Whether a caller is waiting without an answer, as far as this VM knows.
    [[nodiscard]] bool is_silent() const;

    /// When the silence began, if the upstream is silent.
    [[nodiscard]] std::optional<time_point> silent_since() const;

    /// Whether a check found the upstream unreachable and the result has not
    /// expired. It then gets new flows only if no other upstream is left.
    [[nodiscard]] bool is_unreachable(time_point now) const;

    /// When the upstream last answered a caller.
    [[nodiscard]] time_point answered_at() const;

    /// Whether to start a check: none is running, the next one is due, and no
    /// caller got an answer within the `check_after` setting.
    [[nodiscard]] bool
    is_check_due(time_point now, tagging_settings const& settings) const;

    /// Records that a check starts. Precondition: none is running.
    void start_check(time_point now, tagging_settings const& settings);

    /// Applies the outcome of the running check.
    reach_change end_check(
        time_point now,
        connection_outcome outcome,
        tagging_settings const& settings);

    /// Makes the next check of an unreachable upstream due now. Called when a
    /// caller sends data to it, as only a new check may end the flow.
    void check_now(time_point now);

private:
    struct answering
    {
    };
    struct silent
    {
        time_point since;
    };
    struct checking
    {
        /// Empty if the check is due to the failure domain's silence, not to
        /// the upstream's.
        std::optional<time_point> silent_since;
    };
    struct unreachable
    {
        time_point silent_since;
        time_point expires_at;
    };
    using reach_state = std::variant<answering, silent, checking, unreachable>;

    reach_state current;
    time_point last_answer_at;
    time_point next_check_at;
    bool is_check_running = false;
};

} // namespace cairnhead
