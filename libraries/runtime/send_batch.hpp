#pragma once

#include <runtime/receive_batch.hpp>
#include <settings/settings.hpp>

#include <array>
#include <cstdint>
#include <netinet/in.h>
#include <span>
#include <sys/socket.h>
#include <vector>

namespace cairnhead
{

/// What became of the datagrams of a flush.
struct send_result
{
    std::size_t sent = 0;
    /// Refused by the kernel: no route, full buffer. UDP may lose packets, so
    /// they are only counted.
    std::size_t failed = 0;
};

/// Collects datagrams for one batched send.
/// Thread safety of all methods: none; one thread, the packet thread.
class send_batch
{
public:
    send_batch();

    /// Whether `flush` must come before the next datagram. No precondition.
    [[nodiscard]] bool is_full() const;

    /// Adds a datagram of two parts that are not copied. Precondition: not
    /// full; both parts stay as they are until `flush`.
    void
    add(socket_address target,
        std::span<std::uint8_t const> head,
        std::span<std::uint8_t const> body);

    /// An empty buffer of the batch's own for the next `add_written`.
    /// Precondition: not full. Valid until the next `flush`.
    [[nodiscard]] std::vector<std::uint8_t>& next_buffer();

    /// Adds a datagram with what `next_buffer` holds now. Precondition: not
    /// full; `next_buffer` was called since the last datagram.
    void add_written(socket_address target);

    /// Sends all collected datagrams. No precondition.
    send_result flush(int socket);

private:
    struct slot
    {
        sockaddr_in target{};
        std::array<iovec, 2> parts{};
        std::vector<std::uint8_t> buffer;
    };

    std::array<slot, batch_size> slots;
    std::array<mmsghdr, batch_size> headers{};
    std::size_t count = 0;
};

} // namespace cairnhead
