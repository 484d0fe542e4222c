#include <runtime/address_unavailable.hpp>
#include <runtime/readiness_server.hpp>

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <httplib.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace cairnhead;

namespace
{

constexpr ipv4_address loopback{INADDR_LOOPBACK};

/// A socket bound to a loopback port.
class port_holder
{
public:
    port_holder() : descriptor(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        auto* const plain = reinterpret_cast<sockaddr*>(&address);
        cr_assert_eq(::bind(this->descriptor, plain, size), 0);
        cr_assert_eq(::listen(this->descriptor, 1), 0);
        cr_assert_eq(::getsockname(this->descriptor, plain, &size), 0);
        this->port = ntohs(address.sin_port);
    }

    ~port_holder()
    {
        ::close(this->descriptor);
    }

    port_holder(port_holder const&) = delete;
    port_holder& operator=(port_holder const&) = delete;

    std::uint16_t port = 0;

private:
    int descriptor;
};

} // namespace

Test(readiness, tells_whether_callers_may_be_sent, .timeout = 30)
{
    std::atomic<bool> is_ready = false;
    readiness_settings settings;
    settings.port = port_holder().port;
    settings.path = "/ready";
    readiness_server const server(loopback, settings, is_ready);
    httplib::Client client("127.0.0.1", settings.port);
    for (bool const state : {false, true, false})
    {
        is_ready = state;
        auto const answer = client.Get("/ready");
        cr_assert(answer);
        cr_expect_eq(answer->status, state ? 200 : 503);
    }
    auto const other = client.Get("/other");
    cr_assert(other);
    cr_expect_eq(other->status, 404);
}

Test(readiness, a_taken_port_is_a_typed_error)
{
    port_holder const holder;
    std::atomic<bool> const is_ready = true;
    readiness_settings settings;
    settings.port = holder.port;
    cr_expect_throw(
        readiness_server(loopback, settings, is_ready), address_unavailable);
}
