#include <packet/byte_order.hpp>
#include <packet/ipv4.hpp>
#include <packet/refusal.hpp>
#include <packet/tcp.hpp>

#include <algorithm>

namespace cairnhead
{

namespace
{

constexpr std::size_t icmp_header_size = 8;
constexpr std::size_t icmp_checksum_offset = 2;
constexpr std::uint8_t destination_unreachable = 3;
constexpr std::uint8_t administratively_prohibited = 13;
// RFC 792: "Internet Header + 64 bits of Original Data Datagram".
constexpr std::size_t quoted_size = ipv4_header_size + 8;

void write_icmp(
    std::span<std::uint8_t> message, std::span<std::uint8_t const> quoted)
{
    message[0] = destination_unreachable;
    message[1] = administratively_prohibited;
    std::ranges::copy(quoted, message.begin() + icmp_header_size);
    write_checksum(message, icmp_checksum_offset, add_bytes(0, message));
}

} // namespace

std::vector<std::uint8_t> make_tcp_reset(packet_view const& refused)
{
    assert(refused.phase != packet_phase::reset);
    // RFC 9293 3.5.2, group 1: "If the incoming segment has the ACK bit set,
    // the reset takes its sequence number from the ACK field of the segment;
    // otherwise, the reset has sequence number zero and the ACK field is set
    // to the sum of the sequence number and segment length".
    if ((refused.tcp_flags & tcp_flag::ack) != 0)
    {
        return write_tcp_answer(
            refused,
            {.sequence = refused.tcp_acknowledgement, .flags = tcp_flag::rst});
    }
    return write_tcp_answer(
        refused, {.acknowledgement = acknowledge_all(refused),
                  .flags = tcp_flag::rst | tcp_flag::ack});
}

std::vector<std::uint8_t> make_icmp_prohibited(packet_view const& refused)
{
    auto const size = std::min(refused.bytes.size(), quoted_size);
    std::vector<std::uint8_t> bytes(ipv4_header_size + icmp_header_size + size);
    std::span<std::uint8_t> const whole(bytes);
    write_icmp(whole.subspan(ipv4_header_size), refused.bytes.first(size));
    write_ipv4_header(
        whole, {refused.destination.address, refused.source.address},
        icmp_protocol);
    return bytes;
}

} // namespace cairnhead
