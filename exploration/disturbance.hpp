#pragma once

#include <exploration/choice_source.hpp>

#include <base/time.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace cairnhead::exploration
{

/// What happens to the platform, or to VMs of the failure domain.
enum class disturbance_kind : std::uint8_t
{
    /// The platform takes calls and answers none.
    platform_silent,
    /// The platform turns everybody away at once.
    platform_refuses,
    /// The platform turns these VMs away at once.
    vms_turned_away,
    /// The platform answers these VMs nothing.
    vms_unanswered,
    /// The processes are killed, and start again at the end.
    vms_killed,
    /// The VMs stand still.
    vms_frozen,
    /// Heartbeats from and to these VMs are lost.
    vms_cut_off,
};

inline constexpr std::uint32_t disturbance_kinds = 7;

/// One thing that happens, from a moment on and for a while. VMs are counted
/// by rank: the first one is who reads the platform.
struct disturbance
{
    disturbance_kind kind = disturbance_kind::platform_silent;
    duration at{};
    duration length{};
    std::uint32_t first_vm = 0;
    std::uint32_t vms = 0;

    [[nodiscard]] bool is_over(duration now) const
    {
        return now >= this->at + this->length;
    }
    [[nodiscard]] bool is_on(duration now) const
    {
        return now >= this->at && !this->is_over(now);
    }
    [[nodiscard]] bool concerns(std::uint32_t rank) const
    {
        return rank >= this->first_vm && rank < this->first_vm + this->vms;
    }
};

/// How many VMs there are, and how much happens to them.
struct exploration_shape
{
    std::uint32_t vms = 2;
    std::uint32_t disturbances = 1;
    /// Few moments and lengths, so that all can be tried.
    bool is_coarse = false;
};

/// What happens, as the choices say. No precondition. Thread safety: no shared
/// state.
[[nodiscard]] std::vector<disturbance>
draw_disturbances(exploration_shape const& shape, choice_source& choices);

/// One line for each. Thread safety: no shared state.
[[nodiscard]] std::string describe(std::span<disturbance const> all);

} // namespace cairnhead::exploration
