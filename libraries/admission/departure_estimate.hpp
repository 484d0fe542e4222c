#pragma once

#include <base/time.hpp>

#include <cstdint>

namespace cairnhead
{

/// Estimates how long until the next flow leaves, from the departures seen
/// since the first refusal. Older departures count for less and less.
/// Thread safety of all methods: none.
class departure_estimate
{
public:
    /// A flow left. No precondition.
    void note_departure();

    /// How long until the next departure, as far as was seen. While nothing
    /// leaves, the answer grows with the time already waited.
    /// Precondition: `now` does not go back between calls.
    [[nodiscard]] duration expected_wait(time_point now);

private:
    bool has_started = false;
    time_point window_start;
    std::uint64_t departures = 0;
};

} // namespace cairnhead
