#include "listening_socket.hpp"

#include <http/http_server.hpp>

#include <cerrno>
#include <criterion/criterion.h>
#include <httplib.h>
#include <vector>

using namespace cairnhead;
using namespace std::chrono_literals;

namespace
{

constexpr ipv4_address loopback{INADDR_LOOPBACK};

http_reply answer(std::string_view path)
{
    if (path != "/known")
        return {404, {}, {}};
    return {200, "text/plain", "told"};
}

/// A port that nobody listens at now.
std::uint16_t find_port()
{
    return listening_socket(1).port();
}

} // namespace

Test(http_server, answers_get_and_head, .timeout = 30)
{
    auto const port = find_port();
    http_server const server(loopback, port, answer);
    httplib::Client client("127.0.0.1", port);
    auto const known = client.Get("/known?query=a");
    cr_assert(known);
    cr_expect_eq(known->status, 200);
    cr_expect_eq(known->body, "told");
    cr_expect_eq(known->get_header_value("Content-Type"), "text/plain");
    auto const head = client.Head("/known");
    cr_assert(head);
    cr_expect_eq(head->status, 200);
    cr_expect(head->body.empty());
    auto const unknown = client.Get("/unknown");
    cr_assert(unknown);
    cr_expect_eq(unknown->status, 404);
    auto const posted = client.Post("/known", "text", "text/plain");
    cr_assert(posted);
    cr_expect_eq(posted->status, 405);
}

Test(http_server, silent_connections_leave_room_again, .timeout = 30)
{
    // Symptom: a VM that is well is taken for one that is not. Sequence:
    // somebody opens many connections and says nothing. Cause: connections
    // that hold their places for ever.
    constexpr int silent_count = 200;
    auto const port = find_port();
    http_server const server(loopback, port, answer);
    std::vector<int> silent;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    for (int count = 0; count < silent_count; ++count)
    {
        silent.push_back(::socket(AF_INET, SOCK_STREAM, 0));
        (void)::connect(
            silent.back(), reinterpret_cast<sockaddr*>(&address),
            sizeof(address));
    }
    httplib::Client client("127.0.0.1", port);
    while (!client.Get("/known"))
        std::this_thread::sleep_for(50ms);
    for (int const each : silent)
        ::close(each);
}

Test(http_server, a_taken_port_is_a_typed_error, .timeout = 30)
{
    listening_socket const holder(1);
    int error_number = 0;
    try
    {
        http_server const server(loopback, holder.port(), answer);
    }
    catch (http_address_unavailable const& failure)
    {
        error_number = failure.error_number();
    }
    cr_expect_eq(error_number, EADDRINUSE);
}

Test(http_server, the_port_is_free_again_at_once, .timeout = 30)
{
    // Symptom: a daemon that is started anew cannot bind its port for a
    // minute. Sequence: it served a connection just before. Cause: the
    // connection's rest holds the port.
    auto const port = find_port();
    for (int run = 0; run < 3; ++run)
    {
        http_server const server(loopback, port, answer);
        httplib::Client client("127.0.0.1", port);
        cr_expect(client.Get("/known"));
    }
}
