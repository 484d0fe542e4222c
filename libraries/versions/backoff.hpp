#pragma once

#include <base/time.hpp>

#include <cstdint>
#include <random>

namespace cairnhead
{

/// The random number generator of a version store; seeded, so that runs are
/// reproducible.
using version_random = std::mt19937_64;

/// Exponential back-off with jitter: the delay doubles with each failure up to
/// a maximum, and is reduced by a random part of up to half. Without the jitter
/// all VMs would call a platform that has recovered at the same instant.
///
/// No method has a precondition unless its comment states one; none is
/// thread-safe.
class backoff
{
public:
    /// Precondition: 0 < shortest <= longest.
    backoff(duration shortest, duration longest);

    /// Records a failure and returns when to retry.
    [[nodiscard]] time_point fail(time_point now, version_random& random);

    /// Restarts with the shortest delay.
    void reset();

    /// Failures since the last reset.
    [[nodiscard]] std::uint32_t failures() const;

private:
    duration minimum;
    duration maximum;
    std::uint32_t failure_count = 0;
};

} // namespace cairnhead
