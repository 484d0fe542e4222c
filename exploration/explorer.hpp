#pragma once

#include <exploration/disturbance.hpp>
#include <exploration/succession_world.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace cairnhead::exploration
{

/// A violation with the fewest disturbances that lead to it.
struct exploration_finding
{
    std::vector<disturbance> script;
    succession_violation violation;
    /// The seed of the run that found it; zero where all were tried in order.
    std::uint64_t seed = 0;
};

/// What was tried.
struct exploration_result
{
    std::uint64_t runs = 0;
    /// All that the shape allows was tried.
    bool is_complete = false;
    std::optional<exploration_finding> finding;
};

/// Tries everything that the shape allows, in order, until a violation or so
/// many runs. No precondition. Thread safety: no shared state.
[[nodiscard]] exploration_result
explore_in_order(exploration_shape const& shape, std::uint64_t most_runs);

/// Tries so many random runs, until a violation. No precondition. Thread
/// safety: no shared state.
[[nodiscard]] exploration_result explore_at_random(
    exploration_shape const& shape,
    std::uint64_t first_seed,
    std::uint64_t runs);

} // namespace cairnhead::exploration
