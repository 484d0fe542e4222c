#pragma once

#include <cstdint>

namespace cairnhead
{

/// The constants of the placement policy. They are a parameter, although
/// operators cannot set them, so that a measurement can vary them.
struct placement_policy
{
    /// `prefer: balance` chooses the least loaded of this many rendezvous
    /// candidates. This also limits how many openings can go to one empty
    /// upstream: at most this many times its fair share.
    std::uint32_t balance_candidates = 4;
    /// `prefer: balance` keeps the flow's first choice while its load exceeds
    /// the least load by no more than this fraction.
    double balance_tolerance = 0.1;
    /// `prefer: continuity` passes over an upstream whose load per slot is more
    /// than this many times the service's mean.
    double continuity_load_ratio = 1.25;
    /// Lower bound of the share that a report of high load can reduce an
    /// upstream to.
    double minimum_report_share = 0.8;
    /// Lower bound of the share that high latency can reduce an upstream to.
    double minimum_latency_share = 0.75;
    /// A latency within this many times the service's median contradicts a
    /// report of overload, which is then ignored; with zero, no latency
    /// contradicts a report.
    double contradicting_latency_ratio = 1.25;
};

} // namespace cairnhead
