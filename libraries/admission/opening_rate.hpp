#pragma once

#include <base/time.hpp>

#include <cstdint>

namespace cairnhead
{

/// One service's limit on openings per second: the generic cell rate
/// algorithm, whose whole state is the time at which the next opening would
/// arrive if all came evenly.
/// Thread safety of all methods: none.
class opening_rate
{
public:
    /// The earliest time at which an opening conforms; not later than `now`
    /// when one conforms now. Precondition: `per_second` is above zero.
    [[nodiscard]] time_point
    earliest(time_point now, std::uint32_t per_second, duration burst) const;

    /// Counts one opening. Precondition: `per_second` is above zero.
    void count(time_point now, std::uint32_t per_second);

    /// The time between two openings at the limit. Precondition:
    /// `per_second` is above zero.
    [[nodiscard]] static duration interval(std::uint32_t per_second);

private:
    time_point theoretical_arrival;
};

} // namespace cairnhead
