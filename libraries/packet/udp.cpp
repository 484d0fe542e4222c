#include <packet/byte_order.hpp>
#include <packet/ipv4.hpp>
#include <packet/udp.hpp>

namespace cairnhead
{

namespace
{

constexpr std::size_t destination_port_offset = 2;
constexpr std::size_t length_offset = 4;
constexpr std::size_t checksum_offset = 6;

bool is_bad_checksum(
    address_pair const& addresses, std::span<std::uint8_t const> datagram)
{
    // RFC 768: "An all zero transmitted checksum value means that the
    // transmitter generated no checksum".
    if (read_uint16(datagram, checksum_offset) == 0)
        return false;
    auto const pseudo_header =
        sum_pseudo_header(addresses, transport_protocol::udp, datagram.size());
    return !is_valid_sum(add_bytes(pseudo_header, datagram));
}

packet_view view_datagram(
    std::span<std::uint8_t const> bytes, std::span<std::uint8_t const> datagram)
{
    auto const addresses = read_addresses(bytes);
    packet_view view;
    view.source = {
        addresses.source, read_uint16(datagram, 0), transport_protocol::udp};
    view.destination = {
        addresses.destination, read_uint16(datagram, destination_port_offset),
        transport_protocol::udp};
    view.phase = packet_phase::datagram;
    view.payload = datagram.subspan(udp_header_size);
    view.bytes = bytes;
    return view;
}

} // namespace

packet_result read_udp(
    std::span<std::uint8_t const> bytes, std::span<std::uint8_t const> datagram)
{
    if (datagram.size() < udp_header_size)
        return packet_fault::truncated;
    std::size_t const length = read_uint16(datagram, length_offset);
    if (length < udp_header_size)
        return packet_fault::bad_udp_header;
    if (length != datagram.size())
        return packet_fault::length_mismatch;
    if (is_bad_checksum(read_addresses(bytes), datagram))
        return packet_fault::bad_transport_checksum;
    return view_datagram(bytes, datagram);
}

} // namespace cairnhead
