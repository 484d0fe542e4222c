#pragma once

#include <base/time.hpp>

#include <cstdint>
#include <random>

namespace cairnhead
{

/// The random numbers of one version store; seeded, so that runs repeat.
using version_random = std::mt19937_64;

/// Growing delays between attempts that fail: doubled each time up to a
/// maximum, and cut by a random part of up to half. Without the random part
/// all VMs would ask a platform that comes back in the same instant.
/// Thread safety of all methods: none.
class backoff
{
public:
    /// Precondition: 0 < shortest <= longest.
    backoff(duration shortest, duration longest);

    /// Notes a failure; when to try next. No precondition.
    [[nodiscard]] time_point fail(time_point now, version_random& random);

    /// The next failure is the first again. No precondition.
    void reset();

    /// Failures since the last reset. No precondition.
    [[nodiscard]] std::uint32_t failures() const;

private:
    duration minimum;
    duration maximum;
    std::uint32_t failed = 0;
};

} // namespace cairnhead
