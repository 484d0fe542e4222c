#include "listening_socket.hpp"

#include <http/http_caller.hpp>

#include <criterion/criterion.h>
#include <future>
#include <httplib.h>
#include <set>

using namespace cairnhead;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t body_limit = 100'000;

http_question ask_within(std::string url, duration connect, duration answer)
{
    return {
        .url = std::move(url),
        .connect_by = make_deadline(connect),
        .answer_by = make_deadline(answer),
        .maximum_body_bytes = body_limit};
}

http_question ask_for(std::string url)
{
    return ask_within(std::move(url), 20s, 20s);
}

/// Makes a call and waits for its end.
http_result get(http_caller& caller, http_question const& question)
{
    std::promise<http_result> ended;
    caller.post(
        [&](http_client& client)
        {
            client.keep(client.get(question).then(
                [&ended](http_result&& result)
                {
                    ended.set_value(std::move(result));
                }));
        });
    return ended.get_future().get();
}

bool has_failed_with(http_result const& result, http_failure failure)
{
    auto const* const found = std::get_if<http_failure>(&result);
    return found != nullptr && *found == failure;
}

/// A server that tells of each request from which port it came.
class server_standin
{
public:
    server_standin()
    {
        this->server.Get(
            "/sized/(\\d+)",
            [this](httplib::Request const& request, httplib::Response& answer)
            {
                this->ports.insert(request.remote_port);
                std::string const count = request.matches[1];
                answer.set_header("X-Query", request.get_param_value("query"));
                answer.body.assign(std::stoul(count), 'x');
            });
        this->port = this->server.bind_to_any_port("127.0.0.1");
        this->thread = std::thread(
            [this]
            {
                this->server.listen_after_bind();
            });
        // Stopping a server that does not run yet would have no effect.
        while (!this->server.is_running())
            std::this_thread::yield();
    }

    ~server_standin()
    {
        this->server.stop();
        this->thread.join();
    }

    [[nodiscard]] std::string url(std::string const& path) const
    {
        return "http://127.0.0.1:" + std::to_string(this->port) + path;
    }

    std::set<int> ports;

private:
    httplib::Server server;
    int port = 0;
    std::thread thread;
};

} // namespace

Test(http_client, reads_status_headers_and_body, .timeout = 30)
{
    server_standin const server;
    http_caller caller;
    auto const result = get(caller, ask_for(server.url("/sized/3?query=a")));
    auto const* const answer = std::get_if<http_answer>(&result);
    cr_assert_not_null(answer);
    cr_expect_eq(answer->status, 200);
    cr_expect_eq(answer->body, "xxx");
    bool const has_header = std::ranges::any_of(
        answer->headers,
        [](http_header const& each)
        {
            return each.name == "X-Query" && each.value == "a";
        });
    cr_expect(has_header);

    auto const missing = get(caller, ask_for(server.url("/none")));
    cr_assert(std::holds_alternative<http_answer>(missing));
    cr_expect_eq(std::get<http_answer>(missing).status, 404);
}

Test(http_client, bounds_the_body, .timeout = 30)
{
    // Symptom: memory grows until the process is killed. Sequence: a server's
    // answer has no end. Cause: no bound, or one that counts parts alone.
    server_standin const server;
    http_caller caller;
    auto const url = server.url("/sized/");
    auto const whole = get(caller, ask_for(url + std::to_string(body_limit)));
    cr_assert(std::holds_alternative<http_answer>(whole));
    cr_expect_eq(std::get<http_answer>(whole).body.size(), body_limit);
    auto const larger =
        get(caller, ask_for(url + std::to_string(body_limit + 1)));
    cr_expect(has_failed_with(larger, http_failure::too_large));
}

Test(http_client, uses_connections_again, .timeout = 30)
{
    // The stand-in closes each connection after its fifth request, and says
    // so with the fifth answer.
    constexpr int calls = 10;
    server_standin const server;
    http_caller caller;
    for (int call = 0; call < calls; ++call)
    {
        auto const result = get(caller, ask_for(server.url("/sized/9")));
        cr_expect(std::holds_alternative<http_answer>(result));
    }
    cr_expect_eq(server.ports.size(), 2);
}

Test(http_client, asks_anew_when_an_idle_connection_was_closed, .timeout = 30)
{
    // Symptom: each second call fails although the server is well. Sequence:
    // it closes a connection after an answer, without a word. Cause: a client
    // that takes a connection for open since it was.
    constexpr int calls = 3;
    listening_socket socket(calls);
    std::thread server(
        [&socket]
        {
            constexpr std::string_view answer =
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            for (int call = 0; call < calls; ++call)
            {
                int const accepted = socket.accept();
                char request[4096];
                (void)::recv(accepted, request, sizeof(request), 0);
                (void)::send(accepted, answer.data(), answer.size(), 0);
                ::close(accepted);
            }
        });
    {
        http_caller caller;
        for (int call = 0; call < calls; ++call)
        {
            auto const result = get(caller, ask_for(socket.url() + "/"));
            cr_assert(std::holds_alternative<http_answer>(result));
            cr_expect_eq(std::get<http_answer>(result).body, "ok");
        }
    }
    server.join();
}

Test(http_client, an_answer_cut_short_is_none, .timeout = 30)
{
    listening_socket socket(1);
    std::thread server(
        [&socket]
        {
            constexpr std::string_view answer =
                "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok";
            int const accepted = socket.accept();
            char request[4096];
            (void)::recv(accepted, request, sizeof(request), 0);
            (void)::send(accepted, answer.data(), answer.size(), 0);
            ::close(accepted);
        });
    http_caller caller;
    auto const result = get(caller, ask_for(socket.url()));
    cr_expect(has_failed_with(result, http_failure::unreachable));
    server.join();
}

Test(http_client, waits_no_longer_than_told, .timeout = 30)
{
    // Connections are established, and nobody answers.
    listening_socket const silent(1);
    http_caller caller;
    auto const late = get(caller, ask_within(silent.url(), 1h, 100ms));
    cr_expect(has_failed_with(late, http_failure::timed_out));

    // The backlog is full: the kernel drops what would open a connection.
    listening_socket full(0);
    int const waiting[] = {full.connect(), full.connect(), full.connect()};
    auto const unopened = get(caller, ask_within(full.url(), 100ms, 1h));
    cr_expect(has_failed_with(unopened, http_failure::timed_out));
    for (int const each : waiting)
        ::close(each);
}

Test(http_client, tells_what_cannot_be_reached, .timeout = 30)
{
    std::string unused;
    {
        listening_socket const gone(1);
        unused = gone.url();
    }
    http_caller caller;
    for (auto const& url :
         {unused, std::string("ftp://127.0.0.1"), std::string()})
    {
        auto const result = get(caller, ask_for(url));
        cr_expect(
            has_failed_with(result, http_failure::unreachable), "%s",
            url.c_str());
    }
}

Test(http_caller, ends_calls_in_progress_at_once, .timeout = 30)
{
    // Symptom: a planned stop hangs. Sequence: the process is told to stop
    // while a server holds back its answer. Cause: a destructor that waits for
    // the answer, which would come after this test's limit.
    listening_socket const silent(1);
    bool has_ended = false;
    int accepted = -1;
    {
        std::promise<void> started;
        http_caller caller;
        caller.post(
            [&](http_client& client)
            {
                auto call = client.get(ask_within(silent.url(), 1h, 1h));
                client.keep(call.then(
                    [&has_ended](http_result&&)
                    {
                        has_ended = true;
                    }));
                started.set_value();
            });
        started.get_future().wait();
        accepted = silent.accept();
    }
    cr_expect_not(has_ended);
    ::close(accepted);
}
