#pragma once

#include <base/identifiers.hpp>
#include <base/time.hpp>

#include <cstdint>

namespace cairnhead
{

/// Chooses of which flows a busy VM logs every step, by the flow's hash.
///
/// Each VM adapts to its own load, and all VMs hash a flow alike: the flows
/// that a busy VM keeps are among those that any other one keeps. So a flow
/// that a VM logs at all can be followed through all VMs that log as many flows
/// or more, whereas a budget alone would keep the begin of one flow and the end
/// of another. Thread safety of all methods: none.
class flow_sampler
{
public:
    /// No precondition; zero keeps none.
    explicit flow_sampler(std::uint32_t flows_per_second);

    /// A flow is opened: counts it. Whether this flow is logged. No
    /// precondition.
    [[nodiscard]] bool note_opened(time_point now, flow_id flow);

    /// Whether this flow is logged. No precondition.
    [[nodiscard]] bool keeps(flow_id flow) const;

    /// One of so many flows is logged. No precondition.
    [[nodiscard]] std::uint64_t kept_one_in() const;

private:
    void begin_second(time_point now);

    std::uint32_t wanted;
    time_point second_ends_at;
    std::uint32_t opened_in_second = 0;
    /// Flows whose hash ends in so many zero bits are kept.
    unsigned zero_bits = 0;
};

} // namespace cairnhead
