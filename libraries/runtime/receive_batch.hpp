#pragma once

#include <runtime/clocks.hpp>
#include <settings/settings.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <netinet/in.h>
#include <optional>
#include <span>
#include <sys/socket.h>

namespace cairnhead
{

/// Datagrams that one system call moves at most.
inline constexpr std::size_t batch_size = 64;

/// Longer datagrams are cut and reported as such. Callers' packets have at
/// most 1,500 bytes; frames add a few hundred.
inline constexpr std::size_t maximum_datagram_bytes = 4096;

/// One datagram, viewed in the batch's buffers.
struct received_datagram
{
    socket_address source;
    /// When the kernel got it.
    wall_time received_at;
    std::span<std::uint8_t const> bytes;
    /// Whether the datagram was longer than the buffer.
    bool is_truncated = false;
};

/// The buffers of one batched receive.
/// Thread safety of all methods: none; one thread, the packet thread.
class receive_batch
{
public:
    receive_batch();

    /// Receives what waits on a non-blocking socket; the views hold until the
    /// next call. Throws `system_failure`. Precondition: the socket has
    /// `SO_TIMESTAMPNS` and `SO_RXQ_OVFL` set.
    [[nodiscard]] std::span<received_datagram const> receive(int socket);

    /// Datagrams that the kernel dropped since the socket was opened, because
    /// its buffer was full. No precondition.
    [[nodiscard]] std::uint32_t overflowed() const;

private:
    static constexpr std::size_t control_bytes =
        CMSG_SPACE(sizeof(timespec)) + CMSG_SPACE(sizeof(std::uint32_t));

    struct slot
    {
        sockaddr_in source{};
        iovec part{};
        alignas(cmsghdr) std::array<std::uint8_t, control_bytes> control{};
    };

    using buffer = std::array<std::uint8_t, maximum_datagram_bytes>;

    void prepare();
    void read_control(msghdr& header, received_datagram& datagram);

    /// Apart from the slots: what the kernel fills is touched only then.
    std::unique_ptr<std::array<buffer, batch_size>> buffers;
    std::unique_ptr<std::array<slot, batch_size>> slots;
    std::array<mmsghdr, batch_size> headers{};
    std::array<received_datagram, batch_size> received{};
    std::uint32_t overflow_count = 0;
};

} // namespace cairnhead
