#include <admission/repeat_budget.hpp>

#include <algorithm>

namespace cairnhead
{

namespace
{

/// Openings that must be admitted for one repeat.
constexpr std::uint64_t openings_per_repeat = 5;
/// Openings older than this are not "lately": the credit cannot exceed
/// what this many seconds at the limit give.
constexpr std::uint64_t credit_seconds = 10;
/// The floor: one repeat in this time passes whatever was admitted.
constexpr duration floor_period = std::chrono::milliseconds(250);

} // namespace

void repeat_budget::note_opening(std::uint32_t openings_per_second)
{
    auto const maximum = credit_seconds * openings_per_second;
    this->credit = std::min(this->credit + 1, maximum);
}

bool repeat_budget::take(time_point now)
{
    if (this->credit >= openings_per_repeat)
    {
        this->credit -= openings_per_repeat;
        return true;
    }
    if (now < this->next_floor_repeat)
    {
        return false;
    }
    this->next_floor_repeat = now + floor_period;
    return true;
}

} // namespace cairnhead
