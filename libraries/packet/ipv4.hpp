#pragma once

#include <packet/checksum.hpp>
#include <packet/packet_view.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

/// The IPv4 header (RFC 791 3.1). Private to this library.
namespace cairnhead
{

/// Size of a header without options, the only kind that is read or written.
inline constexpr std::size_t ipv4_header_size = 20;

/// The largest IPv4 packet that still fits one GUE datagram: 65,535 bytes
/// less the outer IPv4 and UDP headers and the GUE header.
inline constexpr std::size_t maximum_packet_size =
    65'535 - ipv4_header_size - 8 - gue_header_size;

/// Protocol number of ICMP (RFC 792).
inline constexpr std::uint8_t icmp_protocol = 1;

/// Looks for a fault in the header; nothing when the packet is whole.
/// Thread safety: pure.
[[nodiscard]] std::optional<packet_fault>
find_ipv4_fault(std::span<std::uint8_t const> bytes);

/// Precondition: `find_ipv4_fault` found nothing. Thread safety: pure.
[[nodiscard]] address_pair read_addresses(std::span<std::uint8_t const> bytes);

/// Precondition: `find_ipv4_fault` found nothing. Thread safety: pure.
[[nodiscard]] std::uint8_t read_protocol(std::span<std::uint8_t const> bytes);

/// Writes the header of a packet that fills the span. Preconditions: the span
/// holds the header, starts with zeros there, and is no larger than
/// `maximum_packet_size`. Thread safety: writes only the caller's bytes.
void write_ipv4_header(
    std::span<std::uint8_t> packet,
    address_pair const& addresses,
    std::uint8_t protocol);

} // namespace cairnhead
