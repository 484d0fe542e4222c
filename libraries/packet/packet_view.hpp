#pragma once

#include <base/identifiers.hpp>
#include <event/event.hpp>
#include <registry/tag.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <variant>

/// Reading of callers' packets: IPv4 with TCP or UDP.
namespace cairnhead
{

/// Why a packet was not read. Each has a counter.
enum class packet_fault : std::uint8_t
{
    truncated,
    not_ipv4,
    ip_options,
    fragment,
    bad_ip_checksum,
    length_mismatch,
    unsupported_protocol,
    bad_tcp_header,
    bad_udp_header,
    bad_transport_checksum,
    not_gue,
    gue_version,
    gue_control,
    gue_flags,
    gue_protocol,
    oversized,
};

[[nodiscard]] std::string_view to_text(packet_fault fault);

/// What the system needs to know of one packet. `bytes` views the whole IPv4
/// packet in the receive buffer.
struct packet_view
{
    endpoint source;
    endpoint destination;
    packet_phase phase = packet_phase::ongoing;
    std::uint32_t tcp_sequence = 0;
    std::uint32_t tcp_acknowledgement = 0;
    std::uint8_t tcp_flags = 0;
    /// Absent where the fabric's packets carry no tags.
    std::optional<upstream_tag> tag{};
    /// Transport payload.
    std::span<std::uint8_t const> payload;
    std::span<std::uint8_t const> bytes;
};

using packet_result = std::variant<packet_view, packet_fault>;

/// Reads an IPv4 packet: checks lengths and checksums, refuses fragments and
/// options. Thread safety: no shared state.
[[nodiscard]] packet_result read_packet(std::span<std::uint8_t const> bytes);

/// Removes a GUE variant 0 header (data message, no flags, protocol IPv4) and
/// reads the packet inside. Thread safety: no shared state.
[[nodiscard]] packet_result
read_encapsulated(std::span<std::uint8_t const> datagram);

/// Size of the GUE header that `write_gue_header` writes.
inline constexpr std::size_t gue_header_size = 4;

/// Writes a GUE variant 0 header for an IPv4 packet. Precondition: the span
/// holds `gue_header_size` bytes. Thread safety: no shared state.
void write_gue_header(std::span<std::uint8_t> out);

/// Keyed hash of protocol, addresses and ports (SipHash). Precondition: 16
/// key bytes. Thread safety: no shared state.
[[nodiscard]] flow_id
hash_flow(packet_view const& packet, std::span<std::uint8_t const> key);

} // namespace cairnhead
