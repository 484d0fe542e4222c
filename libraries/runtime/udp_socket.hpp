#pragma once

#include <runtime/file_descriptor.hpp>
#include <settings/settings.hpp>

namespace cairnhead
{

/// A bound, non-blocking UDP socket with receive timestamps.
/// Thread safety: as a plain value.
class udp_socket
{
public:
    /// Opens and binds the socket. Throws `system_failure` and
    /// `address_unavailable`.
    explicit udp_socket(socket_address address);

    /// For the event loop and the batches. No precondition.
    [[nodiscard]] int descriptor() const;

    /// Bytes that the kernel grants for waiting datagrams; it may be less
    /// than asked for. No precondition.
    [[nodiscard]] int receive_buffer_bytes() const;

private:
    file_descriptor socket;
};

} // namespace cairnhead
