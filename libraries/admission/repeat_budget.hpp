#pragma once

#include <base/time.hpp>

#include <cstdint>

namespace cairnhead
{

/// Bounds repeated openings to a fifth of the openings admitted lately, plus
/// a small floor. Without it the callers of an overloaded service, all
/// repeating, would multiply the load exactly when it must shrink; one would
/// notice more repeats than openings at the upstreams.
/// Thread safety of all methods: none.
class repeat_budget
{
public:
    /// An opening was admitted at a limit of `openings_per_second`.
    /// No precondition.
    void note_opening(std::uint32_t openings_per_second);

    /// Takes one repeat from the budget; false when there is none left.
    /// Precondition: `now` does not go back between calls.
    [[nodiscard]] bool take(time_point now);

private:
    std::uint64_t credit = 0;
    time_point next_floor_repeat;
};

} // namespace cairnhead
