#pragma once

#include <packet/packet_view.hpp>

#include <cstdint>
#include <span>
#include <vector>

/// Packets that refuse an opening on behalf of the service's address.
namespace cairnhead
{

/// An IPv4 packet with a TCP RST that answers the given TCP packet, by
/// RFC 9293 3.5.2. Precondition: a TCP packet without RST.
[[nodiscard]] std::vector<std::uint8_t>
make_tcp_reset(packet_view const& refused);

/// An IPv4 packet with ICMP destination unreachable, communication
/// administratively prohibited (RFC 1812 5.2.7.1: type 3, code 13), quoting
/// the refused packet's header and first eight payload bytes.
[[nodiscard]] std::vector<std::uint8_t>
make_icmp_prohibited(packet_view const& refused);

} // namespace cairnhead
