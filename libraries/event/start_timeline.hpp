#pragma once

#include <base/time.hpp>

#include <chrono>

namespace cairnhead
{

/// How long callers' packets wait in their socket for the registry of a VM that
/// has just started. After that it takes them all the same, and drops them:
/// their callers have sent copies since, and sockets are full.
inline constexpr duration longest_start = std::chrono::milliseconds(600);

} // namespace cairnhead
