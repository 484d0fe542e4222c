#include <http/http_listener.hpp>

#include <arpa/inet.h>
#include <cerrno>
#include <kj/io.h>
#include <memory>
#include <netinet/in.h>
#include <sys/socket.h>
#include <utility>

namespace cairnhead
{

namespace
{

constexpr int backlog = 64;

/// Binds here and not in KJ, whose exceptions do not keep the error's number.
kj::AutoCloseFd make_listening(ipv4_address address, std::uint16_t port)
{
    kj::AutoCloseFd made(
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_addr.s_addr = htonl(address.value());
    raw.sin_port = htons(port);
    // The connections of a process before this one must not keep the port
    // for minutes.
    int const on = 1;
    bool const is_listening =
        made.get() >= 0 &&
        ::setsockopt(made, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) == 0 &&
        ::bind(made, reinterpret_cast<sockaddr const*>(&raw), sizeof(raw)) ==
            0 &&
        ::listen(made, backlog) == 0;
    if (!is_listening)
        throw http_address_unavailable(errno);
    return made;
}

void listen(
    kj_loop& loop, kj::AutoCloseFd socket, http_server::answerer const& answers)
{
    constexpr unsigned flags = kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP |
                               kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC |
                               kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK;
    auto receiver =
        loop.io.lowLevelProvider->wrapListenSocketFd(kj::mv(socket), flags);
    auto listener = kj::heap<http_listener>(loop, kj::mv(receiver), answers);
    auto accepting = listener->accept_connections();
    loop.tasks.add(accepting.attach(kj::mv(listener)));
}

} // namespace

http_address_unavailable::http_address_unavailable(int error_number)
    : failed_with(error_number)
{
}

int http_address_unavailable::error_number() const
{
    return this->failed_with;
}

char const* http_address_unavailable::what() const noexcept
{
    return "an address cannot be bound for HTTP";
}

http_server::http_server(
    ipv4_address address, std::uint16_t port, answerer given)
    : answers(std::move(given))
{
    auto const socket =
        std::make_shared<kj::AutoCloseFd>(make_listening(address, port));
    this->thread.post(
        [this, socket](kj_loop& loop)
        {
            listen(loop, kj::mv(*socket), this->answers);
        });
}

} // namespace cairnhead
