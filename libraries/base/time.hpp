#pragma once

#include <chrono>
#include <cstdint>

/// Time as the reducer sees it.
namespace cairnhead
{

/// The monotonic clock of one VM. It has no `now()` on purpose: time reaches
/// decisions only inside events, which keeps them deterministic.
struct monotonic_clock
{
    using rep = std::int64_t;
    using period = std::nano;
    using duration = std::chrono::nanoseconds;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

/// A moment on this VM's monotonic clock. Never sent to another VM.
using time_point = monotonic_clock::time_point;
using duration = monotonic_clock::duration;

} // namespace cairnhead
