#pragma once

#include <base/time.hpp>
#include <rating/decayed_sum.hpp>

#include <cstdint>
#include <optional>

namespace cairnhead
{

/// Mean of recent answers of a pool, compared with what is usual on the same
/// routes.
struct mean_answer_time
{
    /// 1 as usual.
    double relative = 1;
    /// How much longer than usual; negative if quicker.
    duration excess{};
};

/// What a VM has seen of a pool's answers lately.
struct spill_evidence
{
    /// From the own failure domain; absent if none came lately.
    std::optional<mean_answer_time> own;
    /// From other failure domains, network included.
    std::optional<mean_answer_time> other;
    /// The usual answer time.
    duration usual{};
    /// How much longer the quickest answers of other failure domains take.
    duration round_trip{};
};

/// How many requests the flows of a route bring.
enum class flow_length : std::uint8_t
{
    /// Fewer than two in the mean.
    few_requests,
    many_requests,
};

/// Sets the share of a pool's openings that goes to other failure domains.
///
/// Load pattern: one failure domain has more callers than its upstreams can
/// serve in time, while those of the others have capacity. Callers of the busy
/// domain wait, although others could serve them.
///
/// The share follows the excess of the own domain's answer time over that of
/// the others, and the trend of the excess, as in PIE (RFC 8033, section 4.2).
/// The trend damps it, so that VMs that exchange nothing converge instead of
/// moving all load back and forth. The excess counts in time, not relative to
/// the usual answer time: how quickly a wait grows under an excess of load does
/// not depend on how long requests take.
/// No method has a precondition unless its comment states one; none is
/// thread-safe: only the reducer's thread calls them.
class spill_control
{
public:
    /// No spill, and no opening recorded.
    spill_control();

    /// Whether answers of the own failure domain take long enough for a spill.
    [[nodiscard]] static bool is_wait(mean_answer_time const& own);

    /// Whether an update is due; for callers to whom collecting evidence is a
    /// cost.
    [[nodiscard]] bool is_update_due(time_point now) const;

    /// Adapts the share to the evidence.
    void update(time_point now, spill_evidence const& evidence);

    /// Whether there has been no update for so long that the pool's load is
    /// unknown.
    [[nodiscard]] bool is_idle(time_point now) const;

    /// Ends the spill at once: no other failure domain can take flows.
    void stop();

    [[nodiscard]] bool is_spilling() const;

    /// The share of all openings to send to other failure domains, from 0 to
    /// .5.
    [[nodiscard]] double share() const;

    /// Records an opening of the pool, whether it is spilled or not.
    void record_opening(time_point now, flow_length length);

    /// The share to send to other failure domains of the openings of routes
    /// with flows of this length. Flows of few requests go first: a flow cannot
    /// be moved back when the wait is over.
    [[nodiscard]] double share_of(time_point now, flow_length length) const;

    /// Whether more openings could be spilled and be answered within the
    /// target latency, of a route with this usual answer time. False while no
    /// answer of another failure domain is known.
    [[nodiscard]] bool has_room(duration usual, duration target) const;

private:
    /// Starts the spill once the own domain's answers have taken long enough.
    void observe_wait(
        time_point now, mean_answer_time const& own, bool is_other_quicker);

    bool is_active = false;
    double computed_share = 0;
    /// By how many seconds the own domain's answers exceeded the others' plus
    /// the threshold at the last update.
    double excess = 0;
    /// By how much the other domains' answers exceeded their usual time at the
    /// last update, if known.
    std::optional<duration> other_excess;
    /// Since when the own domain's answers take long enough for a start.
    std::optional<time_point> slow_since;
    /// How many means were seen since then, and the latest.
    std::uint32_t slow_answers = 0;
    double slow_relative = 0;
    time_point updated_at;
    decayed_sum short_flows;
    decayed_sum long_flows;
};

} // namespace cairnhead
