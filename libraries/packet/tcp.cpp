#include <packet/byte_order.hpp>
#include <packet/ipv4.hpp>
#include <packet/tcp.hpp>

#include <algorithm>

namespace cairnhead
{

namespace
{

constexpr std::size_t destination_port_offset = 2;
constexpr std::size_t sequence_offset = 4;
constexpr std::size_t acknowledgement_offset = 8;
constexpr std::size_t data_offset_offset = 12;
constexpr std::size_t flags_offset = 13;
constexpr std::size_t window_offset = 14;
constexpr std::size_t checksum_offset = 16;
constexpr std::size_t data_offset_unit = 4;
constexpr std::uint8_t protocol_number =
    static_cast<std::uint8_t>(transport_protocol::tcp);

std::size_t read_data_offset(std::span<std::uint8_t const> segment)
{
    return (segment[data_offset_offset] >> 4) * data_offset_unit;
}

bool is_bad_data_offset(std::span<std::uint8_t const> segment)
{
    std::size_t const offset = read_data_offset(segment);
    return offset < tcp_header_size || offset > segment.size();
}

bool has_flag(std::uint8_t flags, std::uint8_t flag)
{
    return (flags & flag) != 0;
}

// No caller of a service sends these. SYN+ACK answers an opening, which a
// service never makes; SYN with FIN or RST contradicts itself. Of the rest,
// RFC 9293 3.10.7.4 says "if the ACK bit is off, drop the segment"; only a
// reset may go without.
bool is_bad_combination(std::uint8_t flags)
{
    using namespace tcp_flag;
    if (has_flag(flags, syn))
        return has_flag(flags, ack | fin | rst);
    return !has_flag(flags, ack | rst);
}

packet_phase find_phase(std::uint8_t flags, std::size_t payload_size)
{
    if (has_flag(flags, tcp_flag::syn))
        return payload_size == 0 ? packet_phase::opening
                                 : packet_phase::opening_with_data;
    if (has_flag(flags, tcp_flag::rst))
        return packet_phase::reset;
    if (has_flag(flags, tcp_flag::fin))
        return packet_phase::closing;
    return packet_phase::ongoing;
}

checksum_sum sum_segment(
    address_pair const& addresses, std::span<std::uint8_t const> segment)
{
    auto const pseudo_header =
        sum_pseudo_header(addresses, transport_protocol::tcp, segment.size());
    return add_bytes(pseudo_header, segment);
}

packet_view view_segment(
    std::span<std::uint8_t const> bytes, std::span<std::uint8_t const> segment)
{
    auto const addresses = read_addresses(bytes);
    auto const payload = segment.subspan(read_data_offset(segment));
    auto const flags = segment[flags_offset];
    return {
        .source =
            {addresses.source, read_uint16(segment, 0),
             transport_protocol::tcp},
        .destination =
            {addresses.destination,
             read_uint16(segment, destination_port_offset),
             transport_protocol::tcp},
        .phase = find_phase(flags, payload.size()),
        .tcp_sequence = read_uint32(segment, sequence_offset),
        .tcp_acknowledgement = read_uint32(segment, acknowledgement_offset),
        .tcp_flags = flags,
        .payload = payload,
        .bytes = bytes};
}

void write_tcp_header(
    std::span<std::uint8_t> segment,
    packet_view const& packet,
    tcp_answer const& answer)
{
    auto const header_size = tcp_header_size + answer.options.size();
    write_uint16(segment, 0, packet.destination.port);
    write_uint16(segment, destination_port_offset, packet.source.port);
    write_uint32(segment, sequence_offset, answer.sequence);
    write_uint32(segment, acknowledgement_offset, answer.acknowledgement);
    segment[data_offset_offset] =
        static_cast<std::uint8_t>(header_size / data_offset_unit << 4);
    segment[flags_offset] = answer.flags;
    write_uint16(segment, window_offset, answer.window);
    auto const rest = segment.subspan(tcp_header_size);
    auto const payload = std::ranges::copy(answer.options, rest.begin()).out;
    std::ranges::copy(answer.payload, payload);
}

} // namespace

packet_result read_tcp(
    std::span<std::uint8_t const> bytes, std::span<std::uint8_t const> segment)
{
    if (segment.size() < tcp_header_size)
        return packet_fault::truncated;
    if (!is_valid_sum(sum_segment(read_addresses(bytes), segment)))
        return packet_fault::bad_transport_checksum;
    if (is_bad_data_offset(segment))
        return packet_fault::bad_tcp_header;
    if (is_bad_combination(segment[flags_offset]))
        return packet_fault::bad_tcp_header;
    return view_segment(bytes, segment);
}

std::uint32_t acknowledge_all(packet_view const& packet)
{
    auto end = packet.tcp_sequence;
    end += static_cast<std::uint32_t>(packet.payload.size());
    end += has_flag(packet.tcp_flags, tcp_flag::syn) ? 1 : 0;
    end += has_flag(packet.tcp_flags, tcp_flag::fin) ? 1 : 0;
    return end;
}

std::vector<std::uint8_t>
write_tcp_answer(packet_view const& packet, tcp_answer const& answer)
{
    std::vector<std::uint8_t> bytes(
        ipv4_header_size + tcp_header_size + answer.options.size() +
        answer.payload.size());
    std::span<std::uint8_t> const whole(bytes);
    auto const segment = whole.subspan(ipv4_header_size);
    address_pair const addresses = {
        packet.destination.address, packet.source.address};
    write_tcp_header(segment, packet, answer);
    write_checksum(segment, checksum_offset, sum_segment(addresses, segment));
    write_ipv4_header(whole, addresses, protocol_number);
    return bytes;
}

} // namespace cairnhead
