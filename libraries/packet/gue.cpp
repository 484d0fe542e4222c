#include <packet/byte_order.hpp>
#include <packet/packet_view.hpp>

#include <algorithm>
#include <array>

// Generic UDP Encapsulation, variant 0 (draft-ietf-intarea-gue 3.1).
namespace cairnhead
{

namespace
{

constexpr std::size_t protocol_offset = 1;
constexpr std::size_t flags_offset = 2;
constexpr std::uint8_t control_bit = 0x20;
constexpr std::uint8_t header_length_bits = 0x1f;
// IPv4 encapsulation in the registry of IP protocol numbers.
constexpr std::uint8_t ipv4_protocol = 4;

// Variants by the first two bits of a datagram. The draft defines 0 and 1;
// whatever starts with another is no GUE.
constexpr std::uint8_t variant_with_header = 0;
constexpr std::uint8_t variant_without_header = 1;

std::optional<packet_fault>
find_variant_fault(std::span<std::uint8_t const> datagram)
{
    std::uint8_t const variant = datagram[0] >> 6;
    if (variant == variant_without_header)
        return packet_fault::gue_version;
    if (variant != variant_with_header)
        return packet_fault::not_gue;
    return std::nullopt;
}

std::optional<packet_fault>
find_gue_fault(std::span<std::uint8_t const> datagram)
{
    if (datagram.size() < gue_header_size)
        return packet_fault::truncated;
    if (auto const fault = find_variant_fault(datagram))
        return fault;
    if ((datagram[0] & control_bit) != 0)
        return packet_fault::gue_control;
    // The header length counts extension fields, which only flags announce.
    if ((datagram[0] & header_length_bits) != 0)
        return packet_fault::gue_flags;
    if (read_uint16(datagram, flags_offset) != 0)
        return packet_fault::gue_flags;
    if (datagram[protocol_offset] != ipv4_protocol)
        return packet_fault::gue_protocol;
    return std::nullopt;
}

} // namespace

packet_result read_encapsulated(std::span<std::uint8_t const> datagram)
{
    if (auto const fault = find_gue_fault(datagram))
        return *fault;
    return read_packet(datagram.subspan(gue_header_size));
}

void write_gue_header(std::span<std::uint8_t> out)
{
    constexpr std::array<std::uint8_t, gue_header_size> header = {
        0, ipv4_protocol, 0, 0};
    std::ranges::copy(header, out.begin());
}

} // namespace cairnhead
