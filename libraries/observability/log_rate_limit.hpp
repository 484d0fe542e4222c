#pragma once

#include <chrono>
#include <cstdint>

namespace cairnhead
{

/// Bounds the lines of each second of the clock and counts the others.
/// Thread safety: none; the logger guards it.
class log_rate_limit
{
public:
    using time_point = std::chrono::system_clock::time_point;

    /// No precondition; zero suppresses every line.
    explicit log_rate_limit(std::uint32_t allowed_per_second);

    /// Whether a line may be written now; a refused one is counted. A clock
    /// that jumps, in either direction, begins a new second.
    /// No precondition.
    [[nodiscard]] bool admit(time_point now);

    /// Lines refused before the second of `now`, and starts to count from
    /// zero; zero while that second still runs, so that at most one line a
    /// second tells of them. No precondition.
    [[nodiscard]] std::uint64_t take_suppressed(time_point now);

private:
    void enter_second_of(time_point now);

    std::uint32_t lines_per_second;
    std::chrono::sys_seconds current_second;
    std::uint32_t lines_in_second = 0;
    std::uint64_t suppressed_earlier = 0;
    std::uint64_t suppressed_in_second = 0;
};

} // namespace cairnhead
