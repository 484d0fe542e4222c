#include <admission/departure_estimate.hpp>

namespace cairnhead
{

namespace
{

/// Beyond this age of the window half of it is forgotten.
constexpr duration maximum_window = std::chrono::seconds(60);

} // namespace

void departure_estimate::note_departure()
{
    this->departures += 1;
}

duration departure_estimate::expected_wait(time_point now)
{
    if (!this->has_started)
    {
        this->has_started = true;
        this->window_start = now;
        this->departures = 0;
    }
    auto const elapsed = now - this->window_start;
    auto const wait =
        elapsed / static_cast<duration::rep>(this->departures + 1);
    if (elapsed > maximum_window)
    {
        this->window_start += elapsed / 2;
        this->departures /= 2;
    }
    return wait;
}

} // namespace cairnhead
