#pragma once

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <cstdint>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace cairnhead
{

/// A socket on a loopback port that answers nothing by itself.
class listening_socket
{
public:
    explicit listening_socket(int backlog)
        : descriptor(::socket(AF_INET, SOCK_STREAM, 0))
    {
        this->address.sin_family = AF_INET;
        this->address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(this->address);
        cr_assert_eq(::bind(this->descriptor, this->plain(), size), 0);
        cr_assert_eq(::listen(this->descriptor, backlog), 0);
        cr_assert_eq(::getsockname(this->descriptor, this->plain(), &size), 0);
    }

    ~listening_socket()
    {
        ::close(this->descriptor);
    }

    listening_socket(listening_socket const&) = delete;
    listening_socket& operator=(listening_socket const&) = delete;

    [[nodiscard]] std::uint16_t port() const
    {
        return ntohs(this->address.sin_port);
    }

    [[nodiscard]] std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(this->port());
    }

    /// A connection to it, whether it is established or not.
    [[nodiscard]] int connect()
    {
        int const made = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        (void)::connect(made, this->plain(), sizeof(this->address));
        return made;
    }

    [[nodiscard]] int accept() const
    {
        return ::accept(this->descriptor, nullptr, nullptr);
    }

private:
    sockaddr* plain()
    {
        return reinterpret_cast<sockaddr*>(&this->address);
    }

    int descriptor;
    sockaddr_in address{};
};

} // namespace cairnhead
