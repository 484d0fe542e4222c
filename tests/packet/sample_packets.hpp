#pragma once

#include <packet/packet_view.hpp>

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

/// Packets for tests. Bytes and checksums were computed outside the project's
/// code, so a fault that stands in both its reader and its writer shows.
namespace cairnhead::samples
{

using byte_vector = std::vector<std::uint8_t>;

/// From 198.51.100.7:40000 to 203.0.113.10:80, sequence 1000.
inline constexpr std::string_view syn =
    "45000028000040004006d48ac6336407cb00710a"
    "9c400050000003e8000000005002faf0ae330000";
/// The same flow: sequence 1001, acknowledgement 5001, PSH+ACK, "offer".
inline constexpr std::string_view data =
    "4500002d000040004006d485c6336407cb00710a"
    "9c400050000003e9000013895018faf052c200006f66666572";
/// From 198.51.100.7:5353 to 203.0.113.10:4433, "lot".
inline constexpr std::string_view datagram =
    "4500001f000040004011d488c6336407cb00710a"
    "14e91151000b92e86c6f74";

/// Bytes of hexadecimal text.
[[nodiscard]] byte_vector from_hex(std::string_view text);

/// Corrects the IPv4 header's checksum by plain 16-bit addition.
void fix_header_checksum(std::span<std::uint8_t> packet);

/// Corrects both of a packet's checksums by plain 16-bit addition.
void fix_checksums(byte_vector& packet);

/// The view of a packet that must be sound.
[[nodiscard]] packet_view read_sound(std::span<std::uint8_t const> packet);

} // namespace cairnhead::samples
