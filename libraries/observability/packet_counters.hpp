#pragma once

#include <observability/effect_text.hpp>

#include <absl/container/flat_hash_map.h>
#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace cairnhead
{

/// Upper bounds of the buckets of handshake latency, seconds. They lie close
/// together around a few milliseconds, where the callers' round trips are.
inline constexpr std::array handshake_bounds{
    0.0005, 0.001, 0.002, 0.003, 0.005, 0.0075, 0.01, 0.015, 0.025,
    0.05,   0.1,   0.25,  0.5,   1.0,   2.5,    5.0,  10.0};

/// Latencies not yet told to the registry.
struct handshake_counts
{
    /// The last bucket has no bound.
    std::array<std::uint64_t, handshake_bounds.size() + 1> buckets{};
    double sum_seconds = 0;
};

/// What is counted apart for each organisation.
struct organisation_counts
{
    std::array<std::uint64_t, count_of_values<refusal_reason>()> refusals{};
    std::array<handshake_counts, count_of_values<flow_class>()> handshakes{};
};

/// Plain integers, which the packet thread counts up and `metrics::flush`
/// empties: an atomic operation on a shared line for each packet would cost
/// more than all of these.
/// Thread safety: none; it belongs to the thread that handles packets.
class packet_counters
{
public:
    /// `faults`: how many kinds of malformed packets the caller counts.
    explicit packet_counters(std::size_t faults);

    /// No precondition.
    void count_sent_to_upstream();

    /// No precondition.
    void count_sent_to_peer(frame_role role);

    /// No precondition.
    void count_drop(drop_reason reason);

    /// Precondition: `fault` is below the number given at construction.
    void count_fault(std::size_t fault);

    /// No precondition.
    void count_refusal(organisation_id organisation, refusal_reason reason);

    /// No precondition.
    void count_control_sent(std::size_t bytes);

    /// No precondition.
    void count_control_received(std::size_t bytes);

    /// No precondition; a negative latency counts as zero.
    void observe(observe_handshake const& seen);

private:
    friend class metrics;

    std::uint64_t sent_to_upstream = 0;
    std::uint64_t control_sent = 0;
    std::uint64_t control_received = 0;
    std::array<std::uint64_t, count_of_values<frame_role>()> sent_to_peer{};
    std::array<std::uint64_t, count_of_values<drop_reason>()> drops{};
    std::vector<std::uint64_t> faults;
    absl::flat_hash_map<organisation_id, organisation_counts> organisations;
};

} // namespace cairnhead
