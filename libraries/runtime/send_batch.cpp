#include <runtime/send_batch.hpp>

#include <runtime/sockaddr.hpp>

#include <cerrno>

namespace cairnhead
{

namespace
{

iovec to_iovec(std::span<std::uint8_t const> bytes)
{
    // sendmmsg only reads, though the kernel's type does not say so.
    return {const_cast<std::uint8_t*>(bytes.data()), bytes.size()};
}

} // namespace

send_batch::send_batch()
{
    for (std::size_t index = 0; index < batch_size; ++index)
    {
        slot& prepared = this->slots[index];
        msghdr& header = this->headers[index].msg_hdr;
        header.msg_name = &prepared.target;
        header.msg_namelen = sizeof(prepared.target);
        header.msg_iov = prepared.parts.data();
        header.msg_iovlen = prepared.parts.size();
    }
}

bool send_batch::is_full() const
{
    return this->count == batch_size;
}

void send_batch::add(
    socket_address target,
    std::span<std::uint8_t const> head,
    std::span<std::uint8_t const> body)
{
    slot& filled = this->slots[this->count];
    filled.target = to_sockaddr(target);
    filled.parts = {to_iovec(head), to_iovec(body)};
    ++this->count;
}

std::vector<std::uint8_t>& send_batch::next_buffer()
{
    std::vector<std::uint8_t>& buffer = this->slots[this->count].buffer;
    buffer.clear();
    return buffer;
}

void send_batch::add_written(socket_address target)
{
    this->add(target, this->slots[this->count].buffer, {});
}

send_result send_batch::flush(int socket)
{
    send_result result;
    std::size_t next = 0;
    while (next < this->count)
    {
        int const sent = ::sendmmsg(
            socket, &this->headers[next],
            static_cast<unsigned>(this->count - next), MSG_DONTWAIT);
        if (sent < 0 && errno == EINTR)
            continue;
        // The kernel stops at the first datagram that it refuses. Without
        // this step one unreachable target would hold up all behind it.
        if (sent <= 0)
        {
            ++result.failed;
            ++next;
            continue;
        }
        next += static_cast<std::size_t>(sent);
        result.sent += static_cast<std::size_t>(sent);
    }
    this->count = 0;
    return result;
}

} // namespace cairnhead
