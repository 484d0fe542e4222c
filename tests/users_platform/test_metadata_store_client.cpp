#include "samples.hpp"

#include <platform/metadata_store_client.hpp>

#include <criterion/criterion.h>
#include <deque>
#include <future>
#include <httplib.h>

using namespace cairnhead;
using namespace cairnhead::samples;
using namespace std::chrono_literals;

namespace
{

using event_type = metadata_store_client::event_type;

/// Events as they arrive from the client's thread.
template <typename Event>
class basic_event_queue
{
public:
    void push(Event event)
    {
        std::lock_guard const lock(this->mutex);
        this->events.push_back(std::move(event));
        this->changed.notify_one();
    }

    Event pop()
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
    std::deque<Event> events;
};

using event_queue = basic_event_queue<event_type>;

/// A store on a loopback port that answers each path from a script, and ranges
/// of operators' keys from one of their own: the first answers go once each,
/// the last one stays. Notes the queries.
class store_standin
{
public:
    struct answer
    {
        int status = 200;
        std::string body;
    };

    store_standin()
    {
        this->server.Get(
            "/-/(kv-[a-z]+)",
            [this](auto const& request, auto& response)
            {
                this->answer_call(request, response);
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

    ~store_standin()
    {
        this->ending.set_value();
        this->server.stop();
        this->thread.join();
    }

    [[nodiscard]] std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(this->port);
    }

    void script(std::string const& path, std::deque<answer> answers)
    {
        std::lock_guard const lock(this->mutex);
        this->scripts[path] = std::move(answers);
    }

    /// The values that the path was asked for with.
    std::vector<std::string>
    asked(std::string const& path, std::string const& parameter)
    {
        std::lock_guard const lock(this->mutex);
        std::vector<std::string> values;
        for (auto const& [asked_path, parameters] : this->calls)
        {
            auto const found = parameters.find(parameter);
            if (asked_path == path)
                values.push_back(
                    found == parameters.end() ? "" : found->second);
        }
        return values;
    }

    std::promise<void> holds_an_answer;

private:
    void
    answer_call(httplib::Request const& request, httplib::Response& response)
    {
        answer const chosen = this->next(request);
        if (chosen.body == "hold")
        {
            this->holds_an_answer.set_value();
            this->ended.wait();
        }
        response.status = chosen.status;
        response.set_content(chosen.body, "application/json");
    }

    answer next(httplib::Request const& request)
    {
        std::lock_guard const lock(this->mutex);
        std::string const path = request.matches[1];
        this->calls.emplace_back(path, request.params);
        bool const is_of_operators = request.get_param_value("prefix") == "op/";
        auto& left = this->scripts[is_of_operators ? "operators" : path];
        answer chosen = left.empty() ? answer{404, ""} : left.front();
        if (left.size() > 1)
            left.pop_front();
        return chosen;
    }

    std::mutex mutex;
    std::map<std::string, std::deque<answer>> scripts;
    std::vector<std::pair<std::string, httplib::Params>> calls;
    std::promise<void> ending;
    std::shared_future<void> ended{this->ending.get_future()};
    httplib::Server server;
    int port = 0;
    std::thread thread;
};

std::string make_upstream(int number, std::uint64_t rev)
{
    return make_written(
        "servers/i-" + std::to_string(number), rev,
        make_value("10.0.0." + std::to_string(number) + ":80", "ready"));
}

/// A store that holds upstream 1 and configuration 12 at revision 10, and a
/// client that reads it.
struct fixture
{
    fixture()
    {
        this->store.script(
            "kv-range", {{200, make_page("items", {make_upstream(1, 4)}, 10)}});
        this->store.script(
            "operators",
            {{200, make_page(
                       "items",
                       {make_written("op/config", 9, make_configuration(12))},
                       10)}});
        this->store.script("kv-watch", {{200, make_page("events", {}, 10)}});
    }

    platform_listed watch(std::uint64_t after, duration wait = 1h)
    {
        this->client.watch(platform_index(after), wait);
        auto const event = this->events.pop();
        auto const* const listed = std::get_if<platform_listed>(&event);
        cr_assert_not_null(listed);
        return *listed;
    }

    bool fails(std::uint64_t after)
    {
        this->client.watch(platform_index(after), 1h);
        return std::holds_alternative<platform_failed>(this->events.pop());
    }

    upstream_listing fetch_upstreams()
    {
        this->client.fetch(upstream_document_name);
        auto const event = this->events.pop();
        auto const* const fetched = std::get_if<document_fetched>(&event);
        cr_assert_not_null(fetched);
        cr_expect_not(fetched->source.has_value());
        cr_expect_eq(fetched->name, upstream_document_name);
        return decode_upstreams(fetched->text);
    }

    store_standin store;
    event_queue events;
    basic_event_queue<upstreams_read> reads;
    metadata_store_client client{
        this->store.url(),
        [this](event_type event)
        {
            this->events.push(std::move(event));
        },
        {},
        {},
        [this](upstreams_read read)
        {
            this->reads.push(std::move(read));
        }};
};

document_version
version_of(platform_listed const& listed, std::string_view name)
{
    for (document_stamp const& stamp : listed.documents)
    {
        if (stamp.name == name)
            return stamp.version;
    }
    return {};
}

} // namespace

Test(metadata_store_client, reads_everything_first)
{
    fixture bench;
    auto const listed = bench.watch(0);
    cr_expect(listed.index == platform_index(10));
    cr_expect_neq(version_of(listed, upstream_document_name).value(), 0);
    cr_expect_eq(version_of(listed, route_document_name).value(), 12);
    auto const upstreams = bench.fetch_upstreams().upstreams;
    cr_assert_eq(upstreams.size(), 1);
    cr_expect(upstreams[0].instance == instance_number(1));
    std::vector<std::string> const prefixes = {"servers/", "op/"};
    cr_expect(bench.store.asked("kv-range", "prefix") == prefixes);

    bench.client.fetch(route_document_name);
    auto const event = bench.events.pop();
    auto const* const fetched = std::get_if<document_fetched>(&event);
    cr_assert_not_null(fetched);
    cr_expect_eq(fetched->version.value(), 12);
    cr_expect_eq(decode_routes(fetched->text).routes.size(), 1);
}

Test(metadata_store_client, a_store_without_a_configuration)
{
    fixture bench;
    bench.store.script("operators", {{200, make_page("items", {}, 10)}});
    auto const listed = bench.watch(0);
    cr_expect_eq(listed.documents.size(), 2);
    cr_expect_neq(version_of(listed, evacuation_document_name).value(), 0);
    cr_expect_neq(version_of(listed, upstream_document_name).value(), 0);
    for (auto const name : {route_document_name, std::string_view("else")})
    {
        bench.client.fetch(name);
        auto const event = bench.events.pop();
        auto const* const failed = std::get_if<document_fetch_failed>(&event);
        cr_assert_not_null(failed);
        cr_expect_eq(failed->name, name);
    }
}

Test(metadata_store_client, finds_changes_by_the_watch)
{
    fixture bench;
    auto const before = bench.watch(0);
    std::string const heartbeat =
        make_written("servers/i-1", 11, make_value("10.0.0.1:80", "ready", 5));
    bench.store.script(
        "kv-watch",
        {{200, make_page("events", {heartbeat}, 11)},
         {200, make_page(
                   "events",
                   {make_upstream(2, 12), make_removed("servers/i-1", 13),
                    make_written("op/config", 14, make_configuration(15))},
                   14)},
         {200, make_page("events", {}, 14)}});
    auto const after = bench.watch(10);
    cr_expect(after.index == platform_index(14));
    cr_expect(
        version_of(after, upstream_document_name) >
        version_of(before, upstream_document_name));
    cr_expect_eq(version_of(after, route_document_name).value(), 15);
    auto const upstreams = bench.fetch_upstreams().upstreams;
    cr_assert_eq(upstreams.size(), 1);
    cr_expect(upstreams[0].instance == instance_number(2));
    auto const asked = bench.store.asked("kv-watch", "after");
    std::vector<std::string> const expected = {"10", "11"};
    cr_expect(asked == expected);
    // Nothing changes: the wait's end answers.
    auto const same = bench.watch(14, 0s);
    cr_expect(same.documents == after.documents);
}

Test(metadata_store_client, lost_history_leads_to_a_complete_read)
{
    // Symptom: a VM goes on with upstreams that left. Sequence: the store has
    // discarded the history that a watch asks for. Cause: only the watch is
    // begun anew, and the removals in between are never seen.
    fixture bench;
    auto const before = bench.watch(0);
    bench.store.script("kv-watch", {{410, ""}});
    bench.store.script(
        "kv-range", {{200, make_page("items", {make_upstream(2, 25)}, 30)}});
    auto const after = bench.watch(10);
    cr_expect(after.index == platform_index(30));
    cr_expect(
        version_of(after, upstream_document_name) >
        version_of(before, upstream_document_name));
    auto const upstreams = bench.fetch_upstreams().upstreams;
    cr_assert_eq(upstreams.size(), 1);
    cr_expect(upstreams[0].instance == instance_number(2));
}

// Guards against upstreams that registered before their service got a route
// and are never used, as no watch shows their entries again.
Test(metadata_store_client, a_new_service_leads_to_a_complete_read)
{
    fixture bench;
    (void)bench.watch(0);
    std::string value = make_value("10.0.0.2:80", "ready");
    value.replace(value.find("listings"), 8, "offers");
    auto const entry = make_written("servers/i-2", 11, value);
    auto const naming = make_written(
        "op/config", 12,
        make_configuration(
            15, make_route(443, "listings") + "," + make_route(444, "offers")));
    bench.store.script(
        "kv-range",
        {{200, make_page("items", {make_upstream(1, 4), entry}, 12)}});
    bench.store.script("operators", {{200, make_page("items", {naming}, 12)}});
    bench.store.script(
        "kv-watch", {{200, make_page("events", {entry, naming}, 12)},
                     {200, make_page("events", {}, 12)}});
    auto const after = bench.watch(10);
    cr_expect_eq(version_of(after, route_document_name).value(), 15);
    cr_expect_eq(bench.fetch_upstreams().upstreams.size(), 2);
}

Test(metadata_store_client, reads_page_after_page)
{
    fixture bench;
    bench.store.script(
        "kv-range",
        {{200,
          make_page(
              "items", {make_upstream(1, 4), make_upstream(2, 5)}, 10, true)},
         {200, make_page("items", {make_upstream(3, 11)}, 11, true)},
         {200, make_page("items", {make_upstream(4, 6)}, 12)}});
    // What changed while the pages were read must be watched for.
    cr_expect(bench.watch(0).index == platform_index(10));
    cr_expect_eq(bench.fetch_upstreams().upstreams.size(), 4);
    auto const asked = bench.store.asked("kv-range", "after");
    std::vector<std::string> const expected = {
        "", "servers/i-2", "servers/i-3", ""};
    cr_expect(asked == expected);
}

// Guards against a read of its own that waits for other calls, counts toward
// the store's limit, or names another upstream than the packets' tags.
Test(metadata_store_client, reads_upstreams_alone_from_any_replica)
{
    fixture bench;
    // Keys end in hexadecimal numbers, of which tags are the lower half: the
    // last two have one tag.
    bench.store.script(
        "kv-range",
        {{200,
          make_page(
              "items",
              {make_upstream(1, 4), make_written("servers/i-2", 5, "no JSON")},
              10, true)},
         {200,
          make_page(
              "items",
              {make_upstream(3, 11), make_written(
                                         "servers/i-100000003", 6,
                                         make_value("10.0.0.9:80", "ready"))},
              11)}});
    bench.client.read_upstreams();
    auto const read = bench.reads.pop();
    cr_assert_eq(read.listing->upstreams.size(), 1);
    cr_expect(read.listing->upstreams[0].instance == instance_number(1));
    std::vector<std::string> const stale = {"1", "1"};
    cr_expect(bench.store.asked("kv-range", "allowStale") == stale);
}

// Guards against a VM of a large deployment that reads the whole registry, and
// against one that takes a part of it, or a refusal, for the whole.
Test(metadata_store_client, a_read_of_upstreams_ends_after_six_pages)
{
    fixture bench;
    bench.store.script(
        "kv-range",
        {{200, make_page("items", {make_upstream(1, 4)}, 10, true)}});
    bench.client.read_upstreams();
    while (bench.store.asked("kv-range", "allowStale").size() < 6)
        std::this_thread::yield();
    bench.store.script("kv-range", {{503, make_page("items", {}, 20)}});
    bench.client.read_upstreams();
    while (bench.store.asked("kv-range", "allowStale").size() < 7)
        std::this_thread::yield();
    // The watch is answered after both reads, and tells of its own.
    bench.store.script(
        "kv-range", {{200, make_page("items", {make_upstream(5, 4)}, 10)}});
    bench.watch(0);
    auto const read = bench.reads.pop();
    cr_assert_eq(read.listing->upstreams.size(), 1);
    cr_expect(read.listing->upstreams[0].instance == instance_number(5));
    std::vector<std::string> const flags = {"1", "1", "1", "1", "1",
                                            "1", "1", "",  ""};
    cr_expect(bench.store.asked("kv-range", "allowStale") == flags);
}

Test(metadata_store_client, refusals_and_garbage_are_failures)
{
    // Symptom: a VM forgets all upstreams. Sequence: the store refuses a call,
    // or something before it answers with another body. Cause: an answer's
    // status or form not checked.
    fixture bench;
    store_standin::answer const table[] = {
        {503, make_page("items", {}, 20)},
        {429, make_page("items", {}, 20)},
        {404, make_page("items", {}, 20)},
        {302, make_page("items", {}, 20)},
        {200, ""},
        {200, "<html>"},
        {200, "{\"items\":[]}"},
        {200, std::string(std::size_t{5} << 20, ' ')},
    };
    auto const good = make_page("items", {make_upstream(1, 4)}, 10);
    for (auto const& bad : table)
    {
        bench.store.script("kv-range", {bad});
        cr_expect(bench.fails(0), "%d, %.9s", bad.status, bad.body.c_str());
    }
    bench.store.script("kv-range", {{200, good}});
    bench.store.script("operators", {{503, ""}});
    cr_expect(bench.fails(0));
    bench.store.script(
        "operators",
        {{200,
          make_page(
              "items", {make_written("op/config", 9, make_configuration(12))},
              10)}});
    bench.watch(0);
    for (int const status : {503, 200})
    {
        bench.store.script("kv-watch", {{status, "[]"}});
        cr_expect(bench.fails(10));
    }
    cr_expect_eq(bench.fetch_upstreams().upstreams.size(), 1);
}

Test(metadata_store_client, a_store_that_is_gone_is_a_failure)
{
    std::string url;
    {
        store_standin const gone;
        url = gone.url();
    }
    event_queue events;
    metadata_store_client client(
        url,
        [&events](event_type event)
        {
            events.push(std::move(event));
        });
    client.watch(platform_index(0), 1h);
    cr_expect(std::holds_alternative<platform_failed>(events.pop()));
    client.fetch(upstream_document_name);
    cr_expect(std::holds_alternative<document_fetch_failed>(events.pop()));
}

Test(metadata_store_client, ends_while_the_store_holds_an_answer)
{
    // Symptom: a planned stop hangs. Sequence: the process is told to stop
    // while a call waits. Cause: the thread waits for an answer that the store
    // keeps until this test is over.
    store_standin store;
    store.script("kv-range", {{200, "hold"}});
    std::atomic<int> answers = 0;
    {
        metadata_store_client client(
            store.url(),
            [&answers](event_type const&)
            {
                ++answers;
            });
        client.watch(platform_index(0), 1h);
        store.holds_an_answer.get_future().wait();
    }
    cr_expect_eq(answers, 0);
}
