#pragma once

#include <base/identifiers.hpp>

#include <cstddef>
#include <cstdint>
#include <span>

/// The Internet checksum (RFC 1071). Private to this library.
namespace cairnhead
{

/// Sum of 16-bit words, carries not yet folded in. Large enough for any
/// number of bytes that an IPv4 packet can hold.
using checksum_sum = std::uint64_t;

/// Adds bytes to a sum. An odd last byte is padded with zero, so only the
/// last part of a sum may be odd. Thread safety: pure.
[[nodiscard]] checksum_sum
add_bytes(checksum_sum sum, std::span<std::uint8_t const> bytes);

/// The addresses that a pseudo-header covers.
struct address_pair
{
    ipv4_address source;
    ipv4_address destination;
};

/// Sum of the pseudo-header of TCP (RFC 9293 3.1) and UDP (RFC 768) for a
/// segment of the given size. Precondition: the size fits 16 bits. Thread
/// safety: pure.
[[nodiscard]] checksum_sum sum_pseudo_header(
    address_pair const& addresses,
    transport_protocol protocol,
    std::size_t size);

/// Whether a sum that includes the checksum field is right. Thread safety:
/// pure.
[[nodiscard]] bool is_valid_sum(checksum_sum sum);

/// Writes the checksum for a sum in which the field was zero. Precondition:
/// two bytes stand at the offset. Thread safety: writes only the caller's
/// bytes.
void write_checksum(
    std::span<std::uint8_t> out, std::size_t offset, checksum_sum sum);

} // namespace cairnhead
