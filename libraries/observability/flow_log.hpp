#pragma once

#include <event/flow_decision.hpp>
#include <observability/flow_sampler.hpp>
#include <observability/logger.hpp>

namespace cairnhead
{

/// Logs decisions about flows. Of busy VMs' flows only some are logged with
/// each step; what goes wrong is logged of all, within the logger's limits.
/// Thread safety of all methods: none; one thread, the packet thread.
class flow_log
{
public:
    /// Precondition: the logger outlives the object.
    flow_log(logger& shared_log, std::uint32_t flows_per_second);

    /// Logs the decision, or leaves it out. No precondition.
    void write(time_point now, flow_decision const& decided);

    /// Decisions that were left out as their flows are not among those that
    /// are logged. No precondition.
    [[nodiscard]] std::uint64_t sampled_out() const;

private:
    [[nodiscard]] bool is_logged(time_point now, flow_decision const& decided);

    logger& log;
    flow_sampler sampler;
    std::uint64_t left_out = 0;
};

} // namespace cairnhead
