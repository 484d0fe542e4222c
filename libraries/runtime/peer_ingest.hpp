#pragma once

#include <runtime/datagram_fault.hpp>
#include <runtime/receive_batch.hpp>
#include <settings/settings.hpp>
#include <wire/authenticator.hpp>

#include <variant>

namespace cairnhead
{

/// A caller's packet that another VM handed over.
struct framed_packet
{
    peer_frame frame;
    packet_view packet;
};

/// Reads what other VMs sent: control messages, and callers' packets.
/// Thread safety: concurrent calls of const methods are safe.
class peer_ingest
{
public:
    /// Precondition: the authenticator outlives the object.
    explicit peer_ingest(authenticator const& tag_checker);

    using result = std::variant<control_message, framed_packet, datagram_fault>;

    /// Reads one datagram; views are into its bytes. `oldest_accepted` is the
    /// moment before which a datagram is too old. No precondition.
    [[nodiscard]] result
    read(received_datagram const& datagram, wall_time oldest_accepted) const;

private:
    [[nodiscard]] static result read_payload(received_datagram const& datagram);

    authenticator const& checker;
};

} // namespace cairnhead
