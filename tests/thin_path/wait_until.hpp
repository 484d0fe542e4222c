#pragma once

#include <chrono>
#include <criterion/criterion.h>
#include <string>
#include <thread>

namespace cairnhead::thin_path
{

/// Far beyond what anything here takes, so that a busy machine fails no test.
inline constexpr std::chrono::minutes patience{2};

/// Checks a condition again and again until it holds, and fails the test if
/// it does not for very long. `what` names it.
template <typename Condition>
void wait_until(std::string const& what, Condition const& holds)
{
    auto const deadline = std::chrono::steady_clock::now() + patience;
    while (!holds())
    {
        cr_assert(
            std::chrono::steady_clock::now() < deadline, "waited in vain: %s",
            what.c_str());
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
}

} // namespace cairnhead::thin_path
