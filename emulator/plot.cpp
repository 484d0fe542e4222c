#include <emulator/plot.hpp>

#include <algorithm>
#include <array>
#include <cairo.h>
#include <cmath>
#include <cstdio>
#include <limits>
#include <memory>

namespace cairnhead::emulator
{

namespace
{

constexpr int width = 900;
constexpr int height = 420;
constexpr double left = 90;
constexpr double right = 240;
constexpr double top = 40;
constexpr double bottom = 50;
constexpr double font_size = 13;
constexpr double dot_radius = 3.5;
constexpr double line_height = 18;
constexpr double base = 10;

struct colour
{
    double red;
    double green;
    double blue;
};

constexpr colour black{0, 0, 0};
constexpr colour grey{0.8, 0.8, 0.8};
constexpr std::array<colour, 9> line_colours{{
    {0.12, 0.47, 0.71},
    {1.0, 0.5, 0.05},
    {0.17, 0.63, 0.17},
    {0.84, 0.15, 0.16},
    {0.58, 0.4, 0.74},
    {0.55, 0.34, 0.29},
    {0.89, 0.47, 0.76},
    {0.5, 0.5, 0.5},
    {0.74, 0.74, 0.13},
}};

/// Powers of ten around all values of one axis.
struct axis_range
{
    double lowest = std::numeric_limits<double>::max();
    double highest = 0;

    void take(double value)
    {
        if (value <= 0)
            return;
        this->lowest = std::min(this->lowest, value);
        this->highest = std::max(this->highest, value);
    }

    [[nodiscard]] double first_power() const
    {
        return std::floor(std::log10(this->lowest));
    }

    [[nodiscard]] double last_power() const
    {
        return std::max(
            std::ceil(std::log10(this->highest)), this->first_power() + 1);
    }

    /// From zero to one along the axis.
    [[nodiscard]] double place_of(double value) const
    {
        return (std::log10(value) - this->first_power()) /
               (this->last_power() - this->first_power());
    }
};

/// Draws one plot into its part of the picture.
class plot_drawing
{
public:
    plot_drawing(cairo_t* target, plot const& drawn, double offset)
        : canvas(target), shown(drawn), top_edge(offset + top)
    {
        for (plot_line const& line : drawn.lines)
        {
            for (plot_line::point const& point : line.points)
            {
                if (point.vertical <= 0)
                    continue;
                this->horizontal.take(point.horizontal);
                this->vertical.take(point.vertical);
            }
        }
        this->vertical.take(drawn.bound);
    }

    void draw()
    {
        this->use(black);
        this->write(left, this->top_edge - line_height, this->shown.title);
        if (this->horizontal.highest == 0)
            return;
        this->draw_grid();
        if (this->shown.bound > 0)
            this->draw_bound();
        for (std::size_t index = 0; index < this->shown.lines.size(); ++index)
            this->draw_line(index);
    }

private:
    [[nodiscard]] double across(double value) const
    {
        return left + this->horizontal.place_of(value) * (width - left - right);
    }

    [[nodiscard]] double down(double value) const
    {
        double const space = height - top - bottom;
        return this->top_edge + space * (1 - this->vertical.place_of(value));
    }

    void use(colour const& chosen)
    {
        cairo_set_source_rgb(
            this->canvas, chosen.red, chosen.green, chosen.blue);
    }

    void write(double x, double y, std::string const& text)
    {
        cairo_move_to(this->canvas, x, y);
        cairo_show_text(this->canvas, text.c_str());
    }

    void stroke(double from_x, double from_y, double to_x, double to_y)
    {
        cairo_move_to(this->canvas, from_x, from_y);
        cairo_line_to(this->canvas, to_x, to_y);
        cairo_stroke(this->canvas);
    }

    static std::string power_text(double power)
    {
        std::array<char, 16> text{};
        std::snprintf(text.data(), text.size(), "%g", std::pow(base, power));
        return text.data();
    }

    void draw_grid()
    {
        cairo_set_line_width(this->canvas, 1);
        double const low = std::pow(base, this->vertical.first_power());
        double const high = std::pow(base, this->vertical.last_power());
        for (double power = this->horizontal.first_power();
             power <= this->horizontal.last_power(); ++power)
        {
            double const x = this->across(std::pow(base, power));
            this->use(grey);
            this->stroke(x, this->down(low), x, this->down(high));
            this->use(black);
            this->write(
                x - font_size, this->down(low) + line_height,
                power_text(power));
        }
        for (double power = this->vertical.first_power();
             power <= this->vertical.last_power(); ++power)
        {
            double const y = this->down(std::pow(base, power));
            this->use(grey);
            this->stroke(left, y, width - right, y);
            this->use(black);
            this->write(font_size, y, power_text(power));
        }
        this->write(
            width - right - left, this->down(low) + line_height * 2,
            this->shown.horizontal);
        this->write(
            font_size, this->top_edge - line_height / 4, this->shown.vertical);
    }

    void draw_bound()
    {
        this->use(black);
        double const dashes[] = {6, 4};
        cairo_set_dash(this->canvas, dashes, 2, 0);
        double const y = this->down(this->shown.bound);
        this->stroke(left, y, width - right, y);
        cairo_set_dash(this->canvas, nullptr, 0, 0);
        this->write(width - right + font_size, y, "target");
    }

    void draw_line(std::size_t index)
    {
        plot_line const& line = this->shown.lines[index];
        this->use(line_colours[index % line_colours.size()]);
        cairo_set_line_width(this->canvas, 2);
        cairo_new_path(this->canvas);
        for (plot_line::point const& point : line.points)
        {
            if (point.vertical > 0)
                cairo_line_to(
                    this->canvas, this->across(point.horizontal),
                    this->down(point.vertical));
        }
        cairo_stroke(this->canvas);
        for (plot_line::point const& point : line.points)
        {
            if (point.vertical <= 0)
                continue;
            constexpr double whole_turn = 2 * 3.14159265358979;
            cairo_arc(
                this->canvas, this->across(point.horizontal),
                this->down(point.vertical), dot_radius, 0, whole_turn);
            cairo_fill(this->canvas);
        }
        this->write(
            width - right + font_size * 4,
            this->top_edge + line_height * static_cast<double>(index + 1),
            line.name);
    }

    cairo_t* canvas;
    plot const& shown;
    double top_edge;
    axis_range horizontal;
    axis_range vertical;
};

} // namespace

char const* plot_not_written::what() const noexcept
{
    return "the picture cannot be written";
}

void write_plots(std::span<plot const> plots, std::filesystem::path const& file)
{
    std::unique_ptr<cairo_surface_t, void (*)(cairo_surface_t*)> const surface(
        cairo_image_surface_create(
            CAIRO_FORMAT_RGB24, width, height * static_cast<int>(plots.size())),
        cairo_surface_destroy);
    std::unique_ptr<cairo_t, void (*)(cairo_t*)> const canvas(
        cairo_create(surface.get()), cairo_destroy);
    cairo_set_source_rgb(canvas.get(), 1, 1, 1);
    cairo_paint(canvas.get());
    cairo_set_font_size(canvas.get(), font_size);
    double offset = 0;
    for (plot const& each : plots)
    {
        plot_drawing(canvas.get(), each, offset).draw();
        offset += height;
    }
    auto const written =
        cairo_surface_write_to_png(surface.get(), file.c_str());
    if (written != CAIRO_STATUS_SUCCESS)
        throw plot_not_written();
}

} // namespace cairnhead::emulator
