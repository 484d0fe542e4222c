#pragma once

#include <base/time.hpp>

#include <cstdint>

namespace cairnhead
{

/// Admission control by queue delay: sets the share of a pool's openings to
/// refuse, so that the admitted ones are answered in time.
///
/// Load pattern: more requests than the upstreams can process, in a burst or
/// after a total outage. Upstreams queue the excess. Once the queue delay alone
/// is as long as an answer may take, every queued request is late although the
/// upstreams are fully busy: all requests are served, and none in time.
/// Refusing some requests at their opening, before any work is done, keeps the
/// queue short, and the same number of requests is served in time.
///
/// A VM sees few of an upstream's requests and can't count its queue, but it
/// sees how long its own callers waited. The share refused follows that delay
/// and its trend, as in PIE (RFC 8033, section 4.2). It grows while the delay
/// is above the reference, in proportion to the excess, and shrinks when the
/// delay falls, so that VMs that exchange no messages converge instead of
/// oscillating between refusing all and none. It grows faster than it shrinks,
/// because upstreams that shed load bound the delay, which then exceeds the
/// reference only a little whatever the load, and because a flow admitted in
/// excess brings requests for its whole lifetime. None of the methods is
/// thread-safe; all run on the reducer's thread.
class queue_delay_control
{
public:
    /// Records that a request of the pool was answered `waited` after it passed
    /// this VM. An answer that takes longer than `target` is late. Does nothing
    /// if `target` is zero or negative. No precondition.
    void record_answer(time_point now, duration waited, duration target);

    /// Returns the share of openings to refuse now, from 0 to 1. Precondition:
    /// `now` never decreases from call to call.
    [[nodiscard]] double refusal_share(time_point now);

    /// Whether there has been no answer for so long that the queue delay is
    /// unknown. No precondition.
    [[nodiscard]] bool is_idle(time_point now) const;

private:
    void update(time_point now);

    double refused_share = 0;
    /// Mean delay, as a multiple of the target latency.
    double delay = 0;
    double delay_sum = 0;
    std::uint32_t answers = 0;
    time_point next_update_at;
    time_point latest_answer_at;
};

} // namespace cairnhead
