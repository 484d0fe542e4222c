#include "commands.hpp"
#include "http_server.hpp"
#include "text.hpp"

#include <absl/flags/flag.h>

#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

ABSL_FLAG(std::string, documents, "", "folder of the first documents");

namespace cairnhead::standins
{
namespace
{

/// Each waiting watch holds a thread, so there are many.
constexpr std::size_t platform_threads = 256;
constexpr int not_found = 404;
constexpr int unavailable = 503;

struct document
{
    std::uint64_t version = 0;
    std::string body;
};

struct published
{
    std::uint64_t index = 1;
    std::map<std::string, document> documents;
    std::vector<std::string> vms;
};

struct platform_fault
{
    bool down = false;
    std::chrono::milliseconds delay{0};
    /// What the platform answers while it is stale.
    std::optional<published> snapshot;
};

struct platform_counters
{
    std::uint64_t reads = 0;
    std::uint64_t listings = 0;
    std::uint64_t documents = 0;
    std::uint64_t refused = 0;
};

struct unreadable_document : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

std::string read_file(std::filesystem::path const& path)
{
    std::ifstream file{path};
    if (!file)
    {
        throw unreadable_document{path.string()};
    }
    return {std::istreambuf_iterator<char>{file}, {}};
}

/// Thread safety: any thread, since HTTP handlers share it.
class platform
{
public:
    platform()
    {
        this->truth.vms = split_list(absl::GetFlag(FLAGS_vms));
        std::filesystem::path const folder = absl::GetFlag(FLAGS_documents);
        this->load("allotment", folder / "allotment.yaml");
        for (auto const& entry :
             std::filesystem::directory_iterator{folder / "organisations"})
        {
            if (entry.path().extension() != ".yaml")
            {
                continue;
            }
            this->load(
                concatenate("organisations/", entry.path().stem().string()),
                entry.path());
        }
    }

    void list(httplib::Request const& request, httplib::Response& response)
    {
        auto const after = number(request, "after");
        auto const deadline =
            clock::now() + std::chrono::milliseconds{number(request, "wait")};
        std::unique_lock lock{this->guard};
        this->counters.listings += 1;
        if (!this->admit(lock, response))
        {
            return;
        }
        this->changed.wait_until(
            lock, deadline,
            [&]
            {
                return this->fault.down || this->seen().index > after;
            });
        if (this->fault.down)
        {
            this->refuse(response);
            return;
        }
        answer_json(response, describe(this->seen()));
    }

    void read(httplib::Request const& request, httplib::Response& response)
    {
        std::unique_lock lock{this->guard};
        this->counters.documents += 1;
        if (!this->admit(lock, response))
        {
            return;
        }
        auto const& documents = this->seen().documents;
        auto const found = documents.find(request.matches[1]);
        if (found == documents.end())
        {
            response.status = not_found;
            return;
        }
        response.set_header(
            "X-Document-Version", std::to_string(found->second.version));
        response.set_content(found->second.body, "application/yaml");
    }

    void put_document(httplib::Request const& request)
    {
        std::scoped_lock lock{this->guard};
        this->store(request.matches[1], request.body);
    }

    void put_vms(httplib::Request const& request)
    {
        std::scoped_lock lock{this->guard};
        this->truth.vms = split_list(request.body);
        this->publish();
    }

    void put_fault(httplib::Request const& request)
    {
        auto const body = nlohmann::json::parse(request.body);
        std::scoped_lock lock{this->guard};
        this->fault.down = body.value("down", false);
        this->fault.delay =
            std::chrono::milliseconds{body.value("delay_ms", 0)};
        if (!body.value("stale", false))
        {
            this->fault.snapshot.reset();
        }
        else if (!this->fault.snapshot)
        {
            this->fault.snapshot = this->truth;
        }
        this->changed.notify_all();
    }

    void count(httplib::Response& response)
    {
        std::scoped_lock lock{this->guard};
        answer_json(
            response, {{"reads", this->counters.reads},
                       {"listings", this->counters.listings},
                       {"documents", this->counters.documents},
                       {"refused", this->counters.refused}});
    }

private:
    static std::uint64_t
    number(httplib::Request const& request, char const* name)
    {
        return parse_number<std::uint64_t>(request.get_param_value(name))
            .value_or(0);
    }

    static nlohmann::json describe(published const& state)
    {
        auto documents = nlohmann::json::array();
        for (auto const& [name, held] : state.documents)
        {
            documents.push_back({{"name", name}, {"version", held.version}});
        }
        return {
            {"index", state.index},
            {"documents", std::move(documents)},
            {"vms", state.vms}};
    }

    void load(std::string const& name, std::filesystem::path const& path)
    {
        this->store(name, read_file(path));
    }

    /// Precondition for this and all below: the guard is held.
    void store(std::string const& name, std::string const& body)
    {
        auto& held = this->truth.documents[name];
        held.version += 1;
        held.body = body;
        this->publish();
    }

    void publish()
    {
        this->truth.index += 1;
        this->changed.notify_all();
    }

    published const& seen() const
    {
        return this->fault.snapshot ? *this->fault.snapshot : this->truth;
    }

    void refuse(httplib::Response& response)
    {
        this->counters.refused += 1;
        response.status = unavailable;
    }

    /// Counts a read and applies the faults. False if it was refused.
    bool admit(std::unique_lock<std::mutex>& lock, httplib::Response& response)
    {
        this->counters.reads += 1;
        auto const resume = clock::now() + this->fault.delay;
        lock.unlock();
        std::this_thread::sleep_until(resume);
        lock.lock();
        if (this->fault.down)
        {
            this->refuse(response);
        }
        return !this->fault.down;
    }

    std::mutex guard;
    std::condition_variable changed;
    published truth;
    platform_fault fault;
    platform_counters counters;
};

void add_control_routes(http_server& server, platform& served)
{
    server.put(
        "/control/documents/(.+)",
        [&](auto const& request, auto&)
        {
            served.put_document(request);
        });
    server.put(
        "/control/vms",
        [&](auto const& request, auto&)
        {
            served.put_vms(request);
        });
    server.put(
        "/control/fault",
        [&](auto const& request, auto&)
        {
            served.put_fault(request);
        });
    server.get(
        "/control/counters",
        [&](auto const&, auto& response)
        {
            served.count(response);
        });
}

} // namespace

void run_platform(termination_signal const& termination)
{
    platform served;
    http_server server{platform_threads};
    server.get(
        "/v1/documents",
        [&](auto const& request, auto& response)
        {
            served.list(request, response);
        });
    server.get(
        "/v1/documents/(.+)",
        [&](auto const& request, auto& response)
        {
            served.read(request, response);
        });
    add_control_routes(server, served);
    server.start(parse_socket_address(absl::GetFlag(FLAGS_listen)));
    print_ready();
    termination.wait();
    end_process(EXIT_SUCCESS);
}

} // namespace cairnhead::standins
