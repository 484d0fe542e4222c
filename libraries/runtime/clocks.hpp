#pragma once

#include <base/time.hpp>

#include <chrono>
#include <cstdint>

/// The only places where the daemon reads a clock for its decisions.
namespace cairnhead
{

/// A moment on the wall clock, as the kernel stamps received packets.
using wall_time = std::chrono::time_point<std::chrono::system_clock, duration>;

/// Now on this VM's monotonic clock. It goes on while the VM is suspended:
/// a clock that stops meanwhile would hide the pause, and the VM would act on
/// an old view. Thread safety: no shared state.
[[nodiscard]] time_point monotonic_now();

/// Now on the wall clock. Thread safety: no shared state.
[[nodiscard]] wall_time wall_now();

/// Milliseconds since 1970. Thread safety: no shared state.
[[nodiscard]] std::uint64_t wall_clock_milliseconds();

} // namespace cairnhead
