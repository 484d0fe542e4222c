#pragma once

#include <base/time.hpp>
#include <event/event.hpp>

#include <cstdint>
#include <optional>

namespace cairnhead
{

/// State of the connections to one address. Of several connections, the state
/// of the one that got furthest.
enum class connection_state : std::uint8_t
{
    /// No answer yet.
    pending,
    /// The machine answered that nothing listens at the port.
    refused,
    accepted,
};

/// States of a check's connections at one time.
struct check_observation
{
    connection_state suspect = connection_state::pending;
    /// Of all reference upstreams, the state of the one that got furthest.
    connection_state reference = connection_state::pending;
};

/// Decides whether an upstream is reachable. It compares connections to the
/// upstream with connections, begun right after those, to reference upstreams:
/// other upstreams that answered recently.
///
/// A VM can't tell its own delay from another's silence. When its link is full
/// of documents for its peers, or its process gets no CPU time, every upstream
/// looks dead: operators would see `upstream_unreachable` for several upstreams
/// at once, and callers would lose live flows. Silence therefore counts only
/// while a reference upstream answers, as its packets left after the suspect's,
/// over the same link, and returned to the same process. Only upstreams serve
/// as a reference: if a nearby VM answers and no upstream does, the path to all
/// upstreams is at fault, and a caller whose flow ends would have no upstream
/// to go to. Not thread-safe.
class connection_check
{
public:
    /// Precondition: the connections to the suspect were begun before those to
    /// the reference upstreams.
    explicit connection_check(time_point started_at);

    /// Returns the outcome that the connections show by now, or nothing while
    /// the check is undecided. No precondition.
    [[nodiscard]] std::optional<connection_outcome>
    evaluate(time_point now, check_observation const& look);

    /// When to observe the connections again. No precondition.
    [[nodiscard]] time_point next_due() const;

private:
    time_point started_at;
    time_point observed_at;
    time_point observation_due_at;
    /// When an observation first showed an answer of a reference upstream.
    std::optional<time_point> reference_answered_at;
    bool was_paused = false;
};

} // namespace cairnhead
