#pragma once

#include <base/time.hpp>

#include <chrono>

namespace cairnhead
{

/// How long callers' packets wait in their socket for the upstreams of a VM
/// that has just started. After that it takes them all the same, and drops
/// them: their callers have sent copies since, and sockets are full.
inline constexpr duration longest_start = std::chrono::milliseconds(600);

/// How long an opening waits in the process until the registry is complete. By
/// then its caller has retransmitted it, and another VM may have placed it.
inline constexpr duration longest_opening_wait = std::chrono::milliseconds(200);

} // namespace cairnhead
