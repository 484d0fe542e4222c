#pragma once

#include <exception>
#include <filesystem>
#include <span>
#include <string>
#include <vector>

namespace cairnhead::emulator
{

/// One line of a plot.
struct plot_line
{
    struct point
    {
        double horizontal = 0;
        double vertical = 0;
    };

    std::string name;
    std::vector<point> points;
};

/// A plot with logarithmic axes, on which growth by a power is a straight
/// line.
struct plot
{
    std::string title;
    std::string horizontal;
    std::string vertical;
    /// Drawn as a line across; zero for none.
    double bound = 0;
    std::vector<plot_line> lines;
};

/// Thrown when a picture cannot be written.
class plot_not_written : public std::exception
{
public:
    [[nodiscard]] char const* what() const noexcept override;
};

/// Draws plots below each other into a PNG file; values that are not above
/// zero are left out. Throws `plot_not_written`. Thread safety: no shared
/// state.
void write_plots(
    std::span<plot const> plots, std::filesystem::path const& file);

} // namespace cairnhead::emulator
