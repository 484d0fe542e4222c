#pragma once

#include <packet/packet_view.hpp>

#include <cstddef>
#include <cstdint>
#include <span>

/// The UDP header (RFC 768). Private to this library.
namespace cairnhead
{

/// Size of a UDP header.
inline constexpr std::size_t udp_header_size = 8;

/// Reads the UDP datagram that an IPv4 packet holds. Precondition: the
/// datagram lies inside `bytes`, whose IPv4 header is sound. Thread safety:
/// pure.
[[nodiscard]] packet_result read_udp(
    std::span<std::uint8_t const> bytes,
    std::span<std::uint8_t const> datagram);

} // namespace cairnhead
