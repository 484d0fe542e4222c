#include <runtime/receive_batch.hpp>

#include <runtime/sockaddr.hpp>
#include <runtime/system_failure.hpp>

#include <cerrno>
#include <cstring>

namespace cairnhead
{

namespace
{

/// Errors after which a datagram socket goes on as before. An ICMP answer to
/// something that was sent (a peer's port is closed) shows up here.
bool is_transient(int error_number)
{
    return error_number == EAGAIN || error_number == EINTR ||
           error_number == ECONNREFUSED || error_number == ENOBUFS;
}

template <typename Value>
Value read_value(cmsghdr const& control)
{
    Value value{};
    std::memcpy(&value, CMSG_DATA(&control), sizeof(value));
    return value;
}

wall_time to_wall_time(timespec const& stamp)
{
    return wall_time(
        std::chrono::seconds(stamp.tv_sec) +
        std::chrono::nanoseconds(stamp.tv_nsec));
}

} // namespace

receive_batch::receive_batch()
    // Without zeros: they would touch, at each start, a quarter of a megabyte
    // that a quiet VM never uses.
    : buffers(std::make_unique_for_overwrite<std::array<buffer, batch_size>>()),
      slots(std::make_unique<std::array<slot, batch_size>>())
{
    for (std::size_t index = 0; index < batch_size; ++index)
    {
        slot& prepared = (*this->slots)[index];
        buffer& bytes = (*this->buffers)[index];
        prepared.part = {bytes.data(), bytes.size()};
        msghdr& header = this->headers[index].msg_hdr;
        header.msg_name = &prepared.source;
        header.msg_iov = &prepared.part;
        header.msg_iovlen = 1;
        header.msg_control = prepared.control.data();
    }
}

std::span<received_datagram const> receive_batch::receive(int socket)
{
    this->prepare();
    int const count = ::recvmmsg(
        socket, this->headers.data(), batch_size, MSG_DONTWAIT, nullptr);
    if (count < 0 && is_transient(errno))
        return {};
    require_success(system_call::receive_datagrams, count);
    auto const number = static_cast<std::size_t>(count);
    for (std::size_t index = 0; index < number; ++index)
    {
        slot const& filled = (*this->slots)[index];
        mmsghdr& header = this->headers[index];
        received_datagram& datagram = this->received[index];
        datagram.source = from_sockaddr(filled.source);
        datagram.bytes =
            std::span((*this->buffers)[index]).first(header.msg_len);
        datagram.is_truncated = (header.msg_hdr.msg_flags & MSG_TRUNC) != 0;
        this->read_control(header.msg_hdr, datagram);
    }
    return std::span(this->received).first(number);
}

std::uint32_t receive_batch::overflowed() const
{
    return this->overflow_count;
}

void receive_batch::prepare()
{
    // The kernel overwrites the lengths with what it stored.
    for (mmsghdr& header : this->headers)
    {
        header.msg_hdr.msg_namelen = sizeof(sockaddr_in);
        header.msg_hdr.msg_controllen = control_bytes;
    }
}

void receive_batch::read_control(msghdr& header, received_datagram& datagram)
{
    datagram.received_at = wall_time::max();
    for (cmsghdr* control = CMSG_FIRSTHDR(&header); control != nullptr;
         control = CMSG_NXTHDR(&header, control))
    {
        if (control->cmsg_level != SOL_SOCKET)
            continue;
        if (control->cmsg_type == SCM_TIMESTAMPNS)
            datagram.received_at = to_wall_time(read_value<timespec>(*control));
        if (control->cmsg_type == SO_RXQ_OVFL)
            this->overflow_count = read_value<std::uint32_t>(*control);
    }
}

} // namespace cairnhead
