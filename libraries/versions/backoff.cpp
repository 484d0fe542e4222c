#include <versions/backoff.hpp>

#include <algorithm>

namespace cairnhead
{

namespace
{

/// Keeps the shift in range; more doublings than any maximum delay allows.
constexpr std::uint32_t maximum_doublings = 20;

} // namespace

backoff::backoff(duration shortest, duration longest)
    : minimum(shortest), maximum(longest)
{
}

time_point backoff::fail(time_point now, version_random& random)
{
    auto const doublings = std::min(this->failure_count, maximum_doublings);
    auto const factor = std::int64_t{1} << doublings;
    auto const full = std::min(this->minimum * factor, this->maximum);
    ++this->failure_count;
    std::uniform_int_distribution<duration::rep> jittered(
        full.count() / 2, full.count());
    return now + duration(jittered(random));
}

void backoff::reset()
{
    this->failure_count = 0;
}

std::uint32_t backoff::failures() const
{
    return this->failure_count;
}

} // namespace cairnhead
