#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

/// Callers' packets as the fabric sends them. Written without the project's
/// own code, so that a measurement notices a fault of it.
namespace cairnhead::measure
{

enum class segment_kind : std::uint8_t
{
    opening,
    data,
};

/// Payload of a `data` segment.
inline constexpr std::size_t payload_bytes = 64;

/// A TCP segment of the flow with this number, for 198.51.100.1:443, in IPv4
/// and GUE. Precondition: below `maximum_flows`. Thread safe.
[[nodiscard]] std::vector<std::uint8_t>
write_segment(std::uint32_t flow, segment_kind kind);

inline constexpr std::uint32_t maximum_flows = 1U << 24;

} // namespace cairnhead::measure
