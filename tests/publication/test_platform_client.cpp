#include <publication/platform_client.hpp>
#include <publication/platform_protocol.hpp>

#include <condition_variable>
#include <criterion/criterion.h>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <future>
#include <httplib.h>

using namespace cairnhead;
using namespace std::chrono_literals;

namespace
{

/// Events as they arrive from the client's thread.
class event_queue
{
public:
    void push(platform_event event)
    {
        std::lock_guard const lock(this->mutex);
        this->events.push_back(std::move(event));
        this->changed.notify_one();
    }

    platform_event pop()
    {
        std::unique_lock lock(this->mutex);
        this->changed.wait(
            lock,
            [this]
            {
                return !this->events.empty();
            });
        auto event = std::move(this->events.front());
        this->events.pop_front();
        return event;
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<platform_event> events;
};

/// A platform on a loopback port. Documents are named after the fault that
/// they show; a watch after index 1 waits until the stand-in ends.
class platform_standin
{
public:
    platform_standin()
    {
        this->server.Get(
            "/v1/documents",
            [this](auto const& request, auto& response)
            {
                this->answer_watch(request, response);
            });
        this->server.Get(
            "/v1/documents/(.+)",
            [this](auto const& request, auto& response)
            {
                this->answer_fetch(request.matches[1], response);
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

    ~platform_standin()
    {
        this->ending.set_value();
        this->server.stop();
        this->thread.join();
    }

    [[nodiscard]] std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(this->port);
    }

    std::promise<void> watch_waits;
    std::string listing = R"({"index":1,"documents":[]})";
    std::atomic<int> redirected = 0;

private:
    void
    answer_watch(httplib::Request const& request, httplib::Response& response)
    {
        if (request.get_param_value("after") == "1")
        {
            this->watch_waits.set_value();
            this->ended.wait();
        }
        response.set_content(this->listing, "application/json");
    }

    void answer_fetch(std::string const& name, httplib::Response& response)
    {
        response.set_header("X-Document-Version", "5");
        response.set_content("text", "application/yaml");
        if (name == "large")
            response.body = std::string(maximum_body_bytes, 'x');
        if (name == "too_large")
            response.body = std::string(maximum_body_bytes + 1, 'x');
        if (name == "no_version")
            response.headers.erase("X-Document-Version");
        if (name == "waiting")
            this->ended.wait();
        if (name == "missing")
            response.status = 404;
        if (name == "broken")
            response.status = 500;
        if (name == "redirected")
            response.set_redirect("/v1/documents/target");
        if (name == "target")
            ++this->redirected;
        if (name == "truncated")
        {
            response.body.clear();
            response.set_content_provider(
                100, "application/yaml",
                [](std::size_t, std::size_t, httplib::DataSink& sink)
                {
                    sink.write("text", 4);
                    return false;
                });
        }
    }

    std::promise<void> ending;
    std::shared_future<void> ended{this->ending.get_future()};
    httplib::Server server;
    int port = 0;
    std::thread thread;
};

} // namespace

Test(platform_client, documents, .timeout = 30)
{
    // Symptom: a document that nobody published comes into force, or the
    // process ends. Sequence: the answer to a fetch is faulty. Cause: status,
    // length or header not checked.
    struct table_entry
    {
        char const* name;
        std::optional<platform_failure> failure;
        std::size_t bytes;
    };
    using failure = platform_failure;
    table_entry const table[] = {
        {"organisations/good", std::nullopt, 4},
        {"large", std::nullopt, maximum_body_bytes},
        {"too_large", failure::too_large, 0},
        {"no_version", failure::missing_version, 0},
        {"missing", failure::bad_status, 0},
        {"broken", failure::bad_status, 0},
        {"redirected", failure::bad_status, 0},
        {"truncated", failure::unreachable, 0},
    };
    platform_standin platform;
    event_queue events;
    platform_client client(
        platform.url() + "/",
        [&events](platform_event event)
        {
            events.push(std::move(event));
        });
    for (auto const& entry : table)
    {
        auto const before =
            entry.failure ? client.count_failures(*entry.failure) : 0;
        client.fetch(entry.name);
        auto const event = events.pop();
        auto const* fetched = std::get_if<document_fetched>(&event);
        cr_assert_eq(
            fetched == nullptr, entry.failure.has_value(), "%s", entry.name);
        if (fetched != nullptr)
        {
            cr_expect_eq(fetched->name, entry.name);
            cr_expect_eq(fetched->version.value(), 5);
            cr_expect_eq(fetched->text.size(), entry.bytes);
            continue;
        }
        cr_expect(std::holds_alternative<document_fetch_failed>(event));
        auto const counted = client.count_failures(*entry.failure);
        cr_expect_eq(counted, before + 1, "%s", entry.name);
    }
    cr_expect_eq(platform.redirected, 0);
}

Test(platform_client, listings, .timeout = 30)
{
    platform_standin platform;
    event_queue events;
    platform_client client(
        platform.url(),
        [&events](platform_event event)
        {
            events.push(std::move(event));
        });
    client.watch(platform_index(0), 1s);
    cr_expect(std::holds_alternative<platform_listed>(events.pop()));

    platform.listing = "<html>";
    client.watch(platform_index(0), 1s);
    cr_expect(std::holds_alternative<platform_failed>(events.pop()));
    cr_expect_eq(client.count_failures(platform_failure::malformed_listing), 1);

    platform.listing.assign(maximum_listing_bytes + 1, ' ');
    client.watch(platform_index(0), 1s);
    cr_expect(std::holds_alternative<platform_failed>(events.pop()));
    cr_expect_eq(client.count_failures(platform_failure::too_large), 1);
}

Test(platform_client, a_watch_in_progress_ends_with_the_client, .timeout = 30)
{
    // Symptom: a planned stop hangs. Sequence: the process is told to stop
    // while a watch waits. Cause: the thread sleeps until the watch ends. The
    // watch would last an hour, far beyond this test's limit.
    platform_standin platform;
    std::atomic<int> answers = 0;
    {
        platform_client client(
            platform.url(),
            [&answers](platform_event const&)
            {
                ++answers;
            });
        client.watch(platform_index(1), 1h);
        platform.watch_waits.get_future().wait();
    }
    cr_expect_eq(answers, 0);
}

Test(platform_client, refused_connections_schemes_and_excess, .timeout = 30)
{
    std::string unused_url;
    {
        platform_standin const gone;
        unused_url = gone.url();
    }
    // A file that would be a good listing, if files were read.
    char folder[] = "/tmp/platform-XXXXXX";
    cr_assert_not_null(mkdtemp(folder));
    auto const parent = std::filesystem::path(folder) / "v1";
    std::filesystem::create_directory(parent);
    std::ofstream(parent / "documents") << R"({"index":1,"documents":[]})";
    std::string const urls[] = {
        unused_url, std::string("file://") + folder, "ftp://127.0.0.1:1", "",
        "http://"};
    for (auto const& url : urls)
    {
        event_queue events;
        platform_client client(
            url,
            [&events](platform_event event)
            {
                events.push(std::move(event));
            });
        client.watch(platform_index(0), 1s);
        cr_expect(
            std::holds_alternative<platform_failed>(events.pop()), "%s",
            url.c_str());
        cr_expect_eq(client.count_failures(platform_failure::unreachable), 1);
    }
    std::filesystem::remove_all(folder);
}

Test(platform_client, too_many_calls_fail_at_once, .timeout = 30)
{
    // Symptom: memory and sockets grow while the platform does not answer.
    // Sequence: fetches are given up and asked again. Cause: no bound.
    platform_standin platform;
    event_queue events;
    platform_client client(
        platform.url(),
        [&events](platform_event event)
        {
            events.push(std::move(event));
        });
    for (std::size_t call = 0; call < maximum_platform_calls; ++call)
        client.fetch("waiting");
    client.fetch("organisations/good");
    cr_expect(std::holds_alternative<document_fetch_failed>(events.pop()));
    cr_expect_eq(client.count_failures(platform_failure::too_many_calls), 1);
}
