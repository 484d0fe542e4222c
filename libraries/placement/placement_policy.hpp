#pragma once

#include <cstdint>

namespace cairnhead
{

/// The numbers of the placement policy. They are no operator settings; they
/// stand here so that a measurement can vary them.
struct placement_policy
{
    /// `prefer: balance` takes the least loaded of this many rendezvous
    /// candidates. Also the bound of how far openings can pile onto one
    /// upstream that is empty: this many times its fair share.
    std::uint32_t balance_candidates = 4;
    /// `prefer: balance` keeps the predicted upstream while its load exceeds
    /// the least by no more than this share.
    double balance_lean = 0.1;
    /// `prefer: continuity` leaves an upstream whose load per slot is this
    /// many times the service's mean.
    double continuity_excess = 1.25;
    /// The least share that a report of high load can leave an upstream.
    double minimum_report_share = 0.8;
    /// The least share that slow answers can leave an upstream.
    double minimum_latency_share = 0.75;
    /// Answers within this many times the service's median latency contradict
    /// a report of overload; zero lets nothing contradict it.
    double contradicting_latency_ratio = 1.25;
};

} // namespace cairnhead
