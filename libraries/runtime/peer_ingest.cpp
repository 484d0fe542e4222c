#include <runtime/peer_ingest.hpp>

namespace cairnhead
{

namespace
{

/// Position of the byte that tells control messages from frames.
constexpr std::size_t kind_position = 1;

/// A VM's address is its id. Without this check one VM, which has the key as
/// all do, could by a mistake of its settings speak in another's name; the
/// other would be seen to flap between its own claims and the wrong ones.
bool is_sent_by(received_datagram const& datagram, vm_id claimed)
{
    return datagram.source.address.value() == claimed.value();
}

peer_ingest::result read_control(
    received_datagram const& datagram, std::span<std::uint8_t const> payload)
{
    control_message message = decode_control(payload);
    if (!is_sent_by(datagram, message.sender))
        return transfer_fault::sender_mismatch;
    return message;
}

peer_ingest::result read_frame(
    received_datagram const& datagram, std::span<std::uint8_t const> payload)
{
    decoded_frame const decoded = decode_frame(payload);
    if (!is_sent_by(datagram, decoded.frame.sender))
        return transfer_fault::sender_mismatch;
    packet_result const read = read_packet(decoded.packet);
    if (auto const* const fault = std::get_if<packet_fault>(&read))
        return *fault;
    return framed_packet{decoded.frame, std::get<packet_view>(read)};
}

} // namespace

peer_ingest::peer_ingest(authenticator const& tag_checker)
    : checker(tag_checker)
{
}

peer_ingest::result peer_ingest::read(
    received_datagram const& datagram, wall_time oldest_accepted) const
{
    if (datagram.is_truncated)
        return transfer_fault::too_long;
    if (!this->checker.is_authentic(datagram.bytes))
        return malformed_reason::not_authentic;
    // What a peer claimed before this process was paused may be wrong by now;
    // an old ping answer would make a dead VM look alive.
    if (datagram.received_at < oldest_accepted)
        return transfer_fault::too_old;
    try
    {
        return read_payload(datagram);
    }
    catch (malformed_datagram const& malformed)
    {
        return malformed.reason();
    }
}

peer_ingest::result peer_ingest::read_payload(received_datagram const& datagram)
{
    // An authentic datagram has room for the prefix and the tag.
    constexpr std::size_t frame_around =
        authenticator::prefix_size + authenticator::tag_size;
    auto const payload = datagram.bytes.subspan(
        authenticator::prefix_size, datagram.bytes.size() - frame_around);
    switch (static_cast<datagram_kind>(datagram.bytes[kind_position]))
    {
    case datagram_kind::control:
        return read_control(datagram, payload);
    case datagram_kind::frame:
        return read_frame(datagram, payload);
    case datagram_kind::document_request:
    case datagram_kind::document_answer:
        break;
    }
    return malformed_reason::unknown_kind;
}

} // namespace cairnhead
