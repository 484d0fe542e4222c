#include <packet/byte_order.hpp>
#include <packet/ipv4.hpp>

namespace cairnhead
{

namespace
{

constexpr std::size_t total_length_offset = 2;
constexpr std::size_t fragment_offset = 6;
constexpr std::size_t time_to_live_offset = 8;
constexpr std::size_t protocol_offset = 9;
constexpr std::size_t checksum_offset = 10;
constexpr std::size_t source_offset = 12;
constexpr std::size_t destination_offset = 16;

constexpr std::uint8_t version = 4;
constexpr std::uint8_t words_without_options = 5;
constexpr std::uint16_t do_not_fragment = 0x4000;
constexpr std::uint16_t more_fragments = 0x2000;
constexpr std::uint16_t fragment_position = 0x1fff;
// The default of the IP parameters registry (RFC 1700).
constexpr std::uint8_t initial_time_to_live = 64;

std::optional<packet_fault>
find_length_fault(std::span<std::uint8_t const> bytes)
{
    std::size_t const length = read_uint16(bytes, total_length_offset);
    if (length > bytes.size())
        return packet_fault::truncated;
    if (length < bytes.size())
        return packet_fault::length_mismatch;
    return std::nullopt;
}

std::optional<packet_fault>
find_version_fault(std::span<std::uint8_t const> bytes)
{
    std::uint8_t const words = bytes[0] & 0x0f;
    if (bytes[0] >> 4 != version || words < words_without_options)
        return packet_fault::not_ipv4;
    if (words > words_without_options)
        return packet_fault::ip_options;
    return std::nullopt;
}

bool is_fragment(std::span<std::uint8_t const> bytes)
{
    std::uint16_t const field = read_uint16(bytes, fragment_offset);
    return (field & (more_fragments | fragment_position)) != 0;
}

} // namespace

std::optional<packet_fault> find_ipv4_fault(std::span<std::uint8_t const> bytes)
{
    if (bytes.size() > maximum_packet_size)
        return packet_fault::oversized;
    if (bytes.size() < ipv4_header_size)
        return packet_fault::truncated;
    if (auto const fault = find_version_fault(bytes))
        return fault;
    // The checksum goes before the fields that it covers: otherwise damage
    // on the path would be counted as truncation or fragmentation.
    if (!is_valid_sum(add_bytes(0, bytes.first(ipv4_header_size))))
        return packet_fault::bad_ip_checksum;
    if (auto const fault = find_length_fault(bytes))
        return fault;
    // Only the first fragment has ports, so the others could reach a VM that
    // cannot tell whose they are.
    if (is_fragment(bytes))
        return packet_fault::fragment;
    return std::nullopt;
}

address_pair read_addresses(std::span<std::uint8_t const> bytes)
{
    return {
        ipv4_address(read_uint32(bytes, source_offset)),
        ipv4_address(read_uint32(bytes, destination_offset))};
}

std::uint8_t read_protocol(std::span<std::uint8_t const> bytes)
{
    return bytes[protocol_offset];
}

void write_ipv4_header(
    std::span<std::uint8_t> packet,
    address_pair const& addresses,
    std::uint8_t protocol)
{
    packet[0] = version << 4 | words_without_options;
    write_uint16(
        packet, total_length_offset, static_cast<std::uint16_t>(packet.size()));
    // RFC 6864 4.1: a datagram that is never fragmented needs no
    // identification, so DF is set and that field stays zero.
    write_uint16(packet, fragment_offset, do_not_fragment);
    packet[time_to_live_offset] = initial_time_to_live;
    packet[protocol_offset] = protocol;
    write_uint32(packet, source_offset, addresses.source.value());
    write_uint32(packet, destination_offset, addresses.destination.value());
    auto const sum = add_bytes(0, packet.first(ipv4_header_size));
    write_checksum(packet, checksum_offset, sum);
}

} // namespace cairnhead
