#include <packet/ipv4.hpp>
#include <packet/packet_view.hpp>
#include <packet/tcp.hpp>
#include <packet/udp.hpp>

namespace cairnhead
{

std::string_view to_text(packet_fault fault)
{
    switch (fault)
    {
    case packet_fault::truncated:
        return "truncated";
    case packet_fault::not_ipv4:
        return "not_ipv4";
    case packet_fault::ip_options:
        return "ip_options";
    case packet_fault::fragment:
        return "fragment";
    case packet_fault::bad_ip_checksum:
        return "bad_ip_checksum";
    case packet_fault::length_mismatch:
        return "length_mismatch";
    case packet_fault::unsupported_protocol:
        return "unsupported_protocol";
    case packet_fault::bad_tcp_header:
        return "bad_tcp_header";
    case packet_fault::bad_udp_header:
        return "bad_udp_header";
    case packet_fault::bad_transport_checksum:
        return "bad_transport_checksum";
    case packet_fault::not_gue:
        return "not_gue";
    case packet_fault::gue_version:
        return "gue_version";
    case packet_fault::gue_control:
        return "gue_control";
    case packet_fault::gue_flags:
        return "gue_flags";
    case packet_fault::gue_protocol:
        return "gue_protocol";
    case packet_fault::oversized:
        return "oversized";
    }
    return "unknown";
}

packet_result read_packet(std::span<std::uint8_t const> bytes)
{
    if (auto const fault = find_ipv4_fault(bytes))
        return *fault;
    auto const content = bytes.subspan(ipv4_header_size);
    switch (static_cast<transport_protocol>(read_protocol(bytes)))
    {
    case transport_protocol::tcp:
        return read_tcp(bytes, content);
    case transport_protocol::udp:
        return read_udp(bytes, content);
    }
    // FIXME: ICMP "fragmentation needed" (RFC 1191) from a router on the
    // caller's side ends here, so an upstream never learns a smaller path
    // MTU and its large answers vanish. It belongs to the flow that it quotes.
    return packet_fault::unsupported_protocol;
}

} // namespace cairnhead
