#pragma once

#include <base/time.hpp>

#include <ctime>

/// Processor time, which a busy machine stretches less than elapsed time.
namespace cairnhead::measure
{

/// Processor time that this thread has had. Thread safe.
inline duration thread_processor_time()
{
    std::timespec spent{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return std::chrono::seconds(spent.tv_sec) +
           std::chrono::nanoseconds(spent.tv_nsec);
}

/// What two readings of the clock add to the time between them.
inline duration clock_overhead()
{
    constexpr int readings = 100'000;
    duration const begin = thread_processor_time();
    for (int reading = 0; reading < readings; ++reading)
        static_cast<void>(thread_processor_time());
    return (thread_processor_time() - begin) / readings;
}

} // namespace cairnhead::measure
