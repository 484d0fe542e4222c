#pragma once

#include <model/service.hpp>
#include <placement/reported_state.hpp>
#include <placement/upstream_health.hpp>

#include <optional>
#include <vector>

namespace cairnhead
{

/// The state of one upstream, as this VM sees it.
struct upstream_state
{
    upstream_id id;
    failure_domain_id domain;
    std::uint32_t slots = 1;
    /// Limit of the flows of all VMs together; zero means no limit.
    std::uint32_t connections = 0;
    std::uint16_t health_port = 0;
    bool is_declared = false;
    bool is_declared_draining = false;
    bool is_reachable = true;

    /// Flows to this upstream that this VM owns.
    std::uint32_t flows = 0;
    /// This VM's share of `connections`.
    std::uint32_t flow_limit = 0;
    std::optional<time_point> last_closed_at;
    /// Moving average of the time between two flows that close.
    duration closing_interval{};

    time_point cold_until;
    upstream_health health;
    reported_state reported;
    std::optional<time_point> next_probe_at;
    /// Indices of the services that select this upstream.
    std::vector<std::size_t> services;

    /// Whether the upstream is excluded from new flows, even as a last resort,
    /// because it drains.
    [[nodiscard]] bool is_draining() const
    {
        return this->is_declared_draining || this->reported.is_draining();
    }

    [[nodiscard]] bool is_full() const
    {
        return this->flows >= this->flow_limit;
    }
};

} // namespace cairnhead
