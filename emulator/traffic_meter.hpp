#pragma once

#include <base/time.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cairnhead::emulator
{

/// What must not happen to callers and upstreams.
enum class traffic_violation : std::uint8_t
{
    /// A flow ended though its upstream served and could be reached.
    living_flow_reset,
    /// The same before the upstream had got the caller's confirmation.
    unconfirmed_flow_reset,
    /// Nobody answered though an upstream and a VM could be reached.
    living_flow_timed_out,
    /// The same before the upstream had got the caller's confirmation.
    unconfirmed_flow_timed_out,
    /// A packet reached an upstream that does not serve its route.
    wrong_service,
    /// Two upstreams, or one twice, worked on a request.
    run_twice,
    /// An upstream that drains got a new flow after the bound.
    new_at_leaving,
    /// A caller was refused while an upstream could take its flow.
    refused_in_vain,
};

inline constexpr std::size_t traffic_violation_kinds = 8;

[[nodiscard]] std::string_view to_text(traffic_violation kind);

/// How a request ended at its caller.
enum class request_end : std::uint8_t
{
    answered,
    refused,
    reset,
    timed_out,
    /// By an error.
    failed,
    /// The upstream's queue was full.
    overflowed,
};

inline constexpr std::size_t request_ends = 6;

/// Counts what callers and upstreams see.
/// Thread safety of all methods: none.
class traffic_meter
{
public:
    /// A request ended, that long after its caller wanted it. No precondition.
    void note_end(request_end how, duration took);

    /// `what` names the flow and its upstream, for whoever looks into it. No
    /// precondition.
    void note_violation(
        time_point now, traffic_violation kind, std::string_view what);

    /// Forgets how requests ended; violations stay. No precondition.
    void reset();

    /// Forgets violations. No precondition.
    void forget_violations();

    [[nodiscard]] std::uint64_t ended(request_end how) const;
    [[nodiscard]] std::uint64_t violations() const;
    [[nodiscard]] std::uint64_t violations_of(traffic_violation kind) const;

    /// Kinds and counts; empty without any. No precondition.
    [[nodiscard]] std::string describe_violations() const;

    /// The first violations, in words. No precondition.
    [[nodiscard]] std::vector<std::string> const& first_violations() const;

    /// Of the answered requests; zero without any. Precondition: the share is
    /// between zero and one.
    [[nodiscard]] duration answered_within(double share) const;

private:
    std::array<std::uint64_t, request_ends> ends{};
    std::array<std::uint64_t, traffic_violation_kinds> found{};
    std::vector<std::string> first_found;
    std::vector<duration> times;
};

} // namespace cairnhead::emulator
