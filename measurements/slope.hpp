#pragma once

#include <cstddef>
#include <span>

/// Straight lines through measured points, for extrapolation.
namespace cairnhead::measure
{

struct point
{
    double x = 0.0;
    double y = 0.0;
};

struct line
{
    double at_zero = 0.0;
    double slope = 0.0;
};

/// The line with the least squared distance. Precondition: two different x.
/// Thread safe.
inline line fit_line(std::span<point const> points)
{
    double sum_x = 0.0;
    double sum_y = 0.0;
    double sum_xx = 0.0;
    double sum_xy = 0.0;
    for (point const& item : points)
    {
        sum_x += item.x;
        sum_y += item.y;
        sum_xx += item.x * item.x;
        sum_xy += item.x * item.y;
    }
    auto const count = static_cast<double>(points.size());
    double const slope =
        (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x);
    return {(sum_y - slope * sum_x) / count, slope};
}

} // namespace cairnhead::measure
