#include <versions/backoff.hpp>

#include <algorithm>

namespace cairnhead
{

namespace
{

/// More doublings than any maximum allows; keeps the shift in range.
constexpr std::uint32_t maximum_doublings = 20;

} // namespace

backoff::backoff(duration shortest, duration longest)
    : minimum(shortest), maximum(longest)
{
}

time_point backoff::fail(time_point now, version_random& random)
{
    auto const doublings = std::min(this->failed, maximum_doublings);
    auto const factor = std::int64_t{1} << doublings;
    auto const full = std::min(this->minimum * factor, this->maximum);
    ++this->failed;
    std::uniform_int_distribution<duration::rep> part(
        full.count() / 2, full.count());
    return now + duration(part(random));
}

void backoff::reset()
{
    this->failed = 0;
}

std::uint32_t backoff::failures() const
{
    return this->failed;
}

} // namespace cairnhead
