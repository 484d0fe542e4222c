#include <runtime/udp_socket.hpp>

#include <runtime/address_unavailable.hpp>
#include <runtime/sockaddr.hpp>
#include <runtime/system_failure.hpp>

#include <cerrno>
#include <sys/socket.h>

namespace cairnhead
{

namespace
{

/// A burst waits here while the packet thread is busy with something else.
constexpr int wanted_buffer_bytes = 4 * 1024 * 1024;

void set_option(int socket, int option, int value)
{
    int const set =
        ::setsockopt(socket, SOL_SOCKET, option, &value, sizeof(value));
    require_success(system_call::set_socket_option, set);
}

} // namespace

udp_socket::udp_socket(socket_address address)
    : socket(require_success(
          system_call::open_socket,
          ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)))
{
    int const opened = this->socket.get();
    set_option(opened, SO_TIMESTAMPNS, 1);
    set_option(opened, SO_RXQ_OVFL, 1);
    set_option(opened, SO_RCVBUF, wanted_buffer_bytes);
    set_option(opened, SO_SNDBUF, wanted_buffer_bytes);
    sockaddr_in const bound = to_sockaddr(address);
    int const result = ::bind(
        opened, reinterpret_cast<sockaddr const*>(&bound), sizeof(bound));
    if (result < 0)
        throw address_unavailable(address, errno);
}

int udp_socket::descriptor() const
{
    return this->socket.get();
}

int udp_socket::receive_buffer_bytes() const
{
    int granted = 0;
    socklen_t size = sizeof(granted);
    ::getsockopt(this->socket.get(), SOL_SOCKET, SO_RCVBUF, &granted, &size);
    return granted;
}

} // namespace cairnhead
