#pragma once

#include <event/effect.hpp>
#include <observability/packet_counters.hpp>
#include <packet/packet_view.hpp>
#include <runtime/packet_pool.hpp>
#include <runtime/send_batch.hpp>
#include <settings/settings.hpp>
#include <wire/authenticator.hpp>
#include <wire/codec.hpp>

#include <array>

namespace cairnhead
{

/// Sends what the reducer decided about packets, in batches.
/// Thread safety of all methods: none; one thread, the packet thread.
class packet_sender
{
public:
    /// The sockets that it sends from.
    struct descriptors
    {
        int fabric = -1;
        int peers = -1;
    };

    /// Precondition: the references outlive the object.
    packet_sender(
        daemon_settings const& read_settings,
        descriptors bound_sockets,
        authenticator const& tag_signer,
        packet_counters& shared_counters);

    /// Sends a caller's packet to an upstream, which decapsulates it.
    /// Precondition: the packet's bytes stay in place until `flush`.
    void send_to_upstream(packet_view const& packet, upstream_id upstream);

    /// Sends a caller's packet that carries a tag to an upstream.
    /// Precondition: the packet's bytes stay in place until the call returns.
    void send_tagged_packet(
        packet_view const& packet,
        tagged_target const& target,
        upstream_tag tag);

    /// Sends a caller a reset for its packet, which carries a tag. No
    /// precondition.
    void reset_tagged(packet_view const& answered);

    /// Hands a caller's packet to another VM. No precondition.
    void send_to_peer(
        packet_view const& packet, vm_id target, peer_frame const& frame);

    /// Sends a control message to another VM. No precondition.
    void send_control(vm_id target, control_body const& body);

    /// Sends an IPv4 packet back to a caller through the fabric.
    /// Precondition: as a fabric accepts it, with the service as source.
    void send_to_caller(std::span<std::uint8_t const> packet);

    /// Sends all that is still collected. No precondition.
    void flush();

private:
    void make_room(send_batch& batch, int socket);
    void send_batched(send_batch& batch, int socket);
    void sign_and_add(
        std::vector<std::uint8_t>& datagram, datagram_kind kind, vm_id target);

    daemon_settings const& settings;
    descriptors sockets;
    authenticator const& signer;
    packet_counters& counters;
    std::array<std::uint8_t, gue_header_size> gue_header{};
    send_batch to_fabric;
    send_batch to_peers;
};

} // namespace cairnhead
