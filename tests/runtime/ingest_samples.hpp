#pragma once

#include <packet/tcp.hpp>
#include <runtime/receive_batch.hpp>
#include <wire/authenticator.hpp>
#include <wire/codec.hpp>

#include <array>
#include <vector>

/// Datagrams as they come from the fabric and from peers.
namespace cairnhead::ingest_samples
{

inline constexpr ipv4_address fabric_address(0x7f000114);
inline constexpr ipv4_address peer_address(0x7f000165);
inline constexpr ipv4_address stranger_address(0x7f0001c8);
inline constexpr wall_time arrival_time(std::chrono::seconds(1'000));

using byte_vector = std::vector<std::uint8_t>;

/// A caller's opening as an IPv4 packet.
inline byte_vector make_opening()
{
    packet_view reversed;
    reversed.source = {ipv4_address(0xc6336401), 8443, transport_protocol::tcp};
    reversed.destination = {
        ipv4_address(0x0a000001), 40'000, transport_protocol::tcp};
    tcp_answer segment;
    segment.flags = tcp_flag::syn;
    return write_tcp_answer(reversed, segment);
}

inline byte_vector encapsulate(byte_vector const& packet)
{
    byte_vector datagram(gue_header_size);
    write_gue_header(datagram);
    datagram.insert(datagram.end(), packet.begin(), packet.end());
    return datagram;
}

inline authenticator make_authenticator(std::uint8_t secret_byte)
{
    std::array<std::uint8_t, authenticator::secret_size> secret{};
    secret.fill(secret_byte);
    std::array const keys{authenticator::key{1, secret}};
    return authenticator(keys);
}

inline void
sign(byte_vector& datagram, authenticator const& signer, datagram_kind kind)
{
    datagram.resize(datagram.size() + authenticator::tag_size);
    signer.sign(datagram, static_cast<std::uint8_t>(kind));
}

/// A frame that `sender` claims to have sent.
inline byte_vector
make_frame(authenticator const& signer, vm_id sender, byte_vector const& packet)
{
    peer_frame frame;
    frame.sender = sender;
    byte_vector datagram(authenticator::prefix_size);
    encode_frame(frame, packet, datagram);
    sign(datagram, signer, datagram_kind::frame);
    return datagram;
}

/// A ping that `sender` claims to have sent.
inline byte_vector make_ping(authenticator const& signer, vm_id sender)
{
    byte_vector datagram(authenticator::prefix_size);
    encode_control({sender, ping{}}, datagram);
    sign(datagram, signer, datagram_kind::control);
    return datagram;
}

inline received_datagram
receive(ipv4_address source, std::span<std::uint8_t const> bytes)
{
    received_datagram datagram;
    datagram.source = {source, 6080};
    datagram.received_at = arrival_time;
    datagram.bytes = bytes;
    return datagram;
}

} // namespace cairnhead::ingest_samples
