#pragma once

#include <packet/checksum.hpp>
#include <packet/packet_view.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

/// The TCP header (RFC 9293 3.1). Private to this library and its tests.
namespace cairnhead
{

/// Control bits of a TCP header.
namespace tcp_flag
{
inline constexpr std::uint8_t fin = 0x01;
inline constexpr std::uint8_t syn = 0x02;
inline constexpr std::uint8_t rst = 0x04;
inline constexpr std::uint8_t psh = 0x08;
inline constexpr std::uint8_t ack = 0x10;
} // namespace tcp_flag

/// Size of a TCP header without options.
inline constexpr std::size_t tcp_header_size = 20;

/// Reads the TCP segment that an IPv4 packet holds. Precondition: the segment
/// lies inside `bytes`, whose IPv4 header is sound. Thread safety: pure.
[[nodiscard]] packet_result read_tcp(
    std::span<std::uint8_t const> bytes, std::span<std::uint8_t const> segment);

/// The acknowledgement that covers all of a segment: its sequence number plus
/// its length, in which SYN and FIN count as one each (RFC 9293 3.4).
/// Precondition: a TCP packet. Thread safety: pure.
[[nodiscard]] std::uint32_t acknowledge_all(packet_view const& packet);

/// What the system says in a TCP segment of its own.
struct tcp_answer
{
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint8_t flags = 0;
    std::uint16_t window = 0;
    /// A multiple of four bytes, at most 40.
    std::span<std::uint8_t const> options = {};
    std::span<std::uint8_t const> payload = {};
};

/// The IPv4 packet that carries an answer back to the sender of `packet`.
/// Precondition: it is a TCP packet and the answer fits one IPv4 packet.
/// Thread safety: pure.
[[nodiscard]] std::vector<std::uint8_t>
write_tcp_answer(packet_view const& packet, tcp_answer const& answer);

} // namespace cairnhead
