#include <exploration/disturbance.hpp>

#include <array>
#include <string_view>

namespace cairnhead::exploration
{

namespace
{

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

/// By then whoever is elected reads.
constexpr duration settled_after = 5s;

constexpr std::array coarse_moments{0ms, 400ms, 2700ms};
constexpr std::array<duration, 3> coarse_lengths{700ms, 2500ms, 6s};

/// Random moments and lengths are multiples of this.
constexpr duration grain = 50ms;
constexpr std::uint32_t moments = 120;
constexpr std::uint32_t lengths = 180;

std::string_view to_text(disturbance_kind kind)
{
    switch (kind)
    {
    case disturbance_kind::platform_silent:
        return "platform_silent";
    case disturbance_kind::platform_refuses:
        return "platform_refuses";
    case disturbance_kind::vms_turned_away:
        return "vms_turned_away";
    case disturbance_kind::vms_unanswered:
        return "vms_unanswered";
    case disturbance_kind::vms_killed:
        return "vms_killed";
    case disturbance_kind::vms_frozen:
        return "vms_frozen";
    case disturbance_kind::vms_cut_off:
        return "vms_cut_off";
    }
    return "unknown";
}

bool is_about_vms(disturbance_kind kind)
{
    return kind != disturbance_kind::platform_silent &&
           kind != disturbance_kind::platform_refuses;
}

std::string milliseconds_of(duration length)
{
    return std::to_string(length / 1ms);
}

} // namespace

std::vector<disturbance>
draw_disturbances(exploration_shape const& shape, choice_source& choices)
{
    std::vector<disturbance> drawn;
    for (std::uint32_t left = shape.disturbances; left > 0; --left)
    {
        disturbance one;
        one.kind =
            static_cast<disturbance_kind>(choices.choose(disturbance_kinds));
        if (shape.is_coarse)
        {
            one.at = settled_after +
                     coarse_moments[choices.choose(coarse_moments.size())];
            one.length = coarse_lengths[choices.choose(coarse_lengths.size())];
        }
        else
        {
            one.at = settled_after +
                     grain * static_cast<int>(choices.choose(moments));
            one.length = grain * static_cast<int>(1 + choices.choose(lengths));
        }
        if (is_about_vms(one.kind))
        {
            one.vms = 1 + choices.choose(shape.vms);
            one.first_vm = choices.choose(shape.vms - one.vms + 1);
        }
        drawn.push_back(one);
    }
    return drawn;
}

std::string describe(std::span<disturbance const> all)
{
    std::string text;
    for (disturbance const& one : all)
    {
        text += "at_ms=" + milliseconds_of(one.at) +
                " kind=" + std::string(to_text(one.kind)) +
                " for_ms=" + milliseconds_of(one.length);
        if (is_about_vms(one.kind))
            text += " first_vm=" + std::to_string(one.first_vm) +
                    " vms=" + std::to_string(one.vms);
        text += '\n';
    }
    return text;
}

} // namespace cairnhead::exploration
