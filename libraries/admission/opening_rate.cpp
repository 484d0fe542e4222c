#include <admission/opening_rate.hpp>

#include <algorithm>

namespace cairnhead
{

duration opening_rate::interval(std::uint32_t per_second)
{
    constexpr duration second = std::chrono::seconds(1);
    return second / static_cast<duration::rep>(per_second);
}

time_point opening_rate::earliest(
    time_point now, std::uint32_t per_second, duration burst) const
{
    auto const arrival = std::max(now, this->theoretical_arrival);
    auto const tolerance = std::max(burst - interval(per_second), duration{});
    return arrival - tolerance;
}

void opening_rate::count(time_point now, std::uint32_t per_second)
{
    auto const arrival = std::max(now, this->theoretical_arrival);
    this->theoretical_arrival = arrival + interval(per_second);
}

} // namespace cairnhead
