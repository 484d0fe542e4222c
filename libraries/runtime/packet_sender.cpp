#include <runtime/packet_sender.hpp>

#include <platform/tagged_datagram.hpp>

#include <runtime/datagram_fault.hpp>

namespace cairnhead
{

packet_sender::packet_sender(
    daemon_settings const& read_settings,
    descriptors bound_sockets,
    authenticator const& tag_signer,
    packet_counters& shared_counters)
    : settings(read_settings), sockets(bound_sockets), signer(tag_signer),
      counters(shared_counters)
{
    write_gue_header(this->gue_header);
}

void packet_sender::send_to_upstream(
    packet_view const& packet, upstream_id upstream)
{
    this->make_room(this->to_fabric, this->sockets.fabric);
    socket_address const target{
        ipv4_address(upstream.value()), this->settings.upstream_port};
    this->to_fabric.add(target, this->gue_header, packet.bytes);
    this->counters.count_sent_to_upstream();
}

void packet_sender::send_tagged_packet(
    packet_view const& packet, tagged_target const& target, upstream_tag tag)
{
    this->make_room(this->to_fabric, this->sockets.fabric);
    write_tagged_datagram(
        packet.bytes, target.instance, tag, this->to_fabric.next_buffer());
    this->to_fabric.add_written({target.address, target.port});
    this->counters.count_sent_to_upstream();
}

void packet_sender::reset_tagged(packet_view const& answered)
{
    this->make_room(this->to_fabric, this->sockets.fabric);
    write_tagged_reset(answered, this->to_fabric.next_buffer());
    this->to_fabric.add_written(
        {answered.source.address, this->settings.fabric.caller_port});
}

void packet_sender::send_to_peer(
    packet_view const& packet, vm_id target, peer_frame const& frame)
{
    this->make_room(this->to_peers, this->sockets.peers);
    std::vector<std::uint8_t>& datagram = this->to_peers.next_buffer();
    datagram.resize(authenticator::prefix_size);
    encode_frame(frame, packet.bytes, datagram);
    this->sign_and_add(datagram, datagram_kind::frame, target);
    this->counters.count_sent_to_peer(frame.role);
}

void packet_sender::send_control(vm_id target, control_body const& body)
{
    this->make_room(this->to_peers, this->sockets.peers);
    std::vector<std::uint8_t>& datagram = this->to_peers.next_buffer();
    datagram.resize(authenticator::prefix_size);
    encode_control({this->settings.reducer.self.id, body}, datagram);
    this->sign_and_add(datagram, datagram_kind::control, target);
    this->counters.count_control_sent(datagram.size());
}

void packet_sender::send_to_caller(std::span<std::uint8_t const> packet)
{
    this->make_room(this->to_fabric, this->sockets.fabric);
    std::vector<std::uint8_t>& datagram = this->to_fabric.next_buffer();
    datagram.assign(this->gue_header.begin(), this->gue_header.end());
    datagram.insert(datagram.end(), packet.begin(), packet.end());
    this->to_fabric.add_written(this->settings.fabric.return_path);
}

void packet_sender::flush()
{
    this->send_batched(this->to_fabric, this->sockets.fabric);
    this->send_batched(this->to_peers, this->sockets.peers);
}

void packet_sender::make_room(send_batch& batch, int socket)
{
    if (batch.is_full())
        this->send_batched(batch, socket);
}

void packet_sender::send_batched(send_batch& batch, int socket)
{
    send_result const result = batch.flush(socket);
    for (std::size_t index = 0; index < result.failed; ++index)
        this->counters.count_fault(index_of(transfer_fault::send_failed));
}

void packet_sender::sign_and_add(
    std::vector<std::uint8_t>& datagram, datagram_kind kind, vm_id target)
{
    datagram.resize(datagram.size() + authenticator::tag_size);
    this->signer.sign(datagram, static_cast<std::uint8_t>(kind));
    this->to_peers.add_written(
        {ipv4_address(target.value()), this->settings.peers.port});
}

} // namespace cairnhead
