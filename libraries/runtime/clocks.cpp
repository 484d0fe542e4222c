#include <runtime/clocks.hpp>

#include <ctime>

namespace cairnhead
{

namespace
{

duration read_clock(clockid_t clock)
{
    timespec reading{};
    ::clock_gettime(clock, &reading);
    return std::chrono::seconds(reading.tv_sec) +
           std::chrono::nanoseconds(reading.tv_nsec);
}

} // namespace

time_point monotonic_now()
{
    return time_point(read_clock(CLOCK_BOOTTIME));
}

wall_time wall_now()
{
    return wall_time(read_clock(CLOCK_REALTIME));
}

std::uint64_t wall_clock_milliseconds()
{
    auto const since_1970 = wall_now().time_since_epoch();
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    return static_cast<std::uint64_t>(
        duration_cast<milliseconds>(since_1970).count());
}

} // namespace cairnhead
