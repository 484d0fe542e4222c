#pragma once

namespace cairnhead::measure
{

/// Starts one daemon on loopback with a platform stand-in, sends established
/// packets through it to a UDP sink as fast as it takes them, and prints what
/// it did. Gives packets per second of the daemon's processor time, or zero
/// if that cannot be measured here, with the reason printed.
[[nodiscard]] double measure_daemon();

} // namespace cairnhead::measure
