#pragma once

#include <base/time.hpp>

#include <cstdint>

namespace cairnhead
{

/// Which share of a pool's openings is refused, so that those that are taken
/// are answered in time.
///
/// Load that this answers: more requests than the upstreams can work on, in a
/// burst or after everything was down. Upstreams queue what they cannot work on
/// yet. Once the queue alone takes as long as an answer may, each request in it
/// is late, though the upstreams are as busy as ever: all are served, and none
/// in time. Refusing some at their opening, before anything has run, keeps the
/// queue short, and the same number is served in time.
///
/// A VM sees few of an upstream's requests, so that it cannot count its queue.
/// It sees how long its own callers waited. What is refused follows that delay
/// and its trend, as in PIE (RFC 8033, section 4.2): it grows while the delay
/// is above the reference, the faster the more, and shrinks when it falls, so
/// that VMs that do not talk to each other settle alike instead of swinging
/// between all and none. It grows faster than it shrinks: upstreams that shed
/// bound the delay, so that it exceeds the reference by little whatever comes;
/// and a flow that is taken too many brings requests for its whole life.
/// Thread safety of all methods: none; one thread, the reducer's.
class queue_delay_control
{
public:
    /// A request of the pool was answered so long after it passed here, where
    /// an answer after `target` is late. Nothing without a target. No
    /// precondition.
    void note_answer(time_point now, duration waited, duration target);

    /// The share of openings to be refused now, of 1. Precondition: `now` never
    /// falls.
    [[nodiscard]] double share(time_point now);

    /// Whether there were no answers for so long that nothing is known. No
    /// precondition.
    [[nodiscard]] bool is_idle(time_point now) const;

private:
    void update(time_point now);

    double refused_share = 0;
    /// In parts of the target latency, in the mean.
    double delay = 0;
    double delay_sum = 0;
    std::uint32_t answers = 0;
    time_point next_update_at;
    time_point latest_answer_at;
};

} // namespace cairnhead
