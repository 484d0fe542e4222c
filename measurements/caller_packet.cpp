#include "caller_packet.hpp"

#include <initializer_list>
#include <span>

namespace cairnhead::measure
{

namespace
{

constexpr std::size_t gue_bytes = 4;
constexpr std::size_t ip_bytes = 20;
constexpr std::size_t tcp_bytes = 20;
constexpr std::size_t ip_checksum_offset = 10;
constexpr std::size_t tcp_checksum_offset = 16;
constexpr std::uint32_t service_address =
    198U << 24 | 51U << 16 | 100U << 8 | 1;
constexpr std::uint32_t service_port = 443;
/// Callers are in 10.0.0.0/8, each with one flow.
constexpr std::uint32_t caller_base = 10U << 24;
constexpr std::uint32_t caller_port = 40'000;
constexpr std::uint32_t tcp_protocol = 6;
constexpr std::uint32_t syn_flags = 0x5002;
constexpr std::uint32_t push_and_ack_flags = 0x5018;
constexpr std::uint32_t whole_window = 0xffff;

using bytes = std::vector<std::uint8_t>;

void put16(bytes& out, std::uint32_t value)
{
    out.push_back(static_cast<std::uint8_t>(value >> 8));
    out.push_back(static_cast<std::uint8_t>(value));
}

void put32(bytes& out, std::uint32_t value)
{
    put16(out, value >> 16);
    put16(out, value & 0xffff);
}

std::uint32_t sum_words(std::uint32_t sum, std::span<std::uint8_t const> part)
{
    for (std::size_t at = 0; at + 1 < part.size(); at += 2)
        sum += static_cast<std::uint32_t>(part[at]) << 8 | part[at + 1];
    return sum;
}

void write_sum(std::span<std::uint8_t> part, std::size_t at, std::uint32_t sum)
{
    while (sum >> 16 != 0)
        sum = (sum & 0xffff) + (sum >> 16);
    part[at] = static_cast<std::uint8_t>(~sum >> 8);
    part[at + 1] = static_cast<std::uint8_t>(~sum);
}

void put_ip_header(bytes& out, std::uint32_t caller, std::size_t total)
{
    put16(out, 0x4500);
    put16(out, static_cast<std::uint32_t>(total));
    put16(out, 0);
    // Must not be fragmented.
    put16(out, 0x4000);
    put16(out, 64U << 8 | tcp_protocol);
    put16(out, 0);
    put32(out, caller);
    put32(out, service_address);
}

void put_tcp_header(bytes& out, segment_kind kind)
{
    bool const is_opening = kind == segment_kind::opening;
    put16(out, caller_port);
    put16(out, service_port);
    put32(out, is_opening ? 1'000 : 1'001);
    put32(out, is_opening ? 0 : 5'001);
    put16(out, is_opening ? syn_flags : push_and_ack_flags);
    put16(out, whole_window);
    put32(out, 0);
}

} // namespace

std::vector<std::uint8_t> write_segment(std::uint32_t flow, segment_kind kind)
{
    std::size_t const payload = kind == segment_kind::data ? payload_bytes : 0;
    std::size_t const tcp_size = tcp_bytes + payload;
    bytes out{0, 4, 0, 0};
    put_ip_header(out, caller_base + flow, ip_bytes + tcp_size);
    put_tcp_header(out, kind);
    out.resize(out.size() + payload, 'x');
    std::span<std::uint8_t> const packet = std::span(out).subspan(gue_bytes);
    std::span<std::uint8_t> const ip = packet.first(ip_bytes);
    std::span<std::uint8_t> const tcp = packet.subspan(ip_bytes);
    write_sum(ip, ip_checksum_offset, sum_words(0, ip));
    auto const size = static_cast<std::uint32_t>(tcp_size);
    std::uint32_t sum = tcp_protocol + size;
    sum = sum_words(sum, ip.subspan(12));
    write_sum(tcp, tcp_checksum_offset, sum_words(sum, tcp));
    return out;
}

} // namespace cairnhead::measure
