#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cairnhead
{

/// Why a call of the platform gave nothing. Each has a counter.
enum class platform_failure : std::uint8_t
{
    /// No connection, or it broke before the answer was complete.
    unreachable,
    timed_out,
    /// Any status but 200; redirects are among them.
    bad_status,
    too_large,
    /// The body of a listing is not what the protocol says.
    malformed_listing,
    /// A document came without a version that can be read.
    missing_version,
    /// Too many calls at the same time; none was made.
    too_many_calls,
};

inline constexpr std::size_t platform_failure_kinds = 7;

/// The failure's name as operators see it, such as `timed_out`. No
/// precondition. Thread safety: no shared state.
[[nodiscard]] std::string_view to_text(platform_failure failure);

} // namespace cairnhead
