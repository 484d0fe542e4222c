#include <thin_path/child_process.hpp>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <map>
#include <string>
#include <unistd.h>
#include <vector>

// Criterion's macros break other headers, so it comes last.
#include <criterion/criterion.h>

using cairnhead::thin_path::child_process;

namespace
{

constexpr int health_port = 8080;
std::string const service = "198.51.100.1:8443";
std::string const fabric_address = "127.77.0.10:6082";
std::vector<std::string> const upstream_addresses = {
    "127.77.16.1", "127.77.16.2"};

/// A folder for the processes' output that goes with the test.
class output_folder
{
public:
    output_folder()
        : path(
              std::filesystem::temp_directory_path() /
              ("cairnhead-at-most-once-" + std::to_string(getpid())))
    {
        std::filesystem::create_directories(this->path);
    }
    output_folder(output_folder const&) = delete;
    output_folder& operator=(output_folder const&) = delete;
    ~output_folder()
    {
        std::filesystem::remove_all(this->path);
    }

    [[nodiscard]] child_process
    start(std::string const& name, std::vector<std::string> arguments) const
    {
        arguments.insert(arguments.begin(), CAIRNHEAD_STANDINS);
        return child_process(arguments, this->path / name);
    }

private:
    std::filesystem::path path;
};

/// How often each identifier ran, over both upstreams.
std::map<std::string, int> count_runs()
{
    std::map<std::string, int> total;
    for (std::string const& address : upstream_addresses)
    {
        httplib::Client client(address, health_port);
        auto const answer = client.Get("/runs");
        cr_assert(answer, "no answer of the upstream %s", address.c_str());
        auto const runs = nlohmann::json::parse(answer->body);
        for (auto const& [identifier, times] : runs.items())
            total[identifier] += times.get<int>();
    }
    return total;
}

} // namespace

Test(at_most_once, runs_no_request_twice_when_a_syn_reaches_two_upstreams)
{
    // Symptom: an offer is confirmed twice.
    // Sequence: two halves of a split fleet place one SYN at two upstreams;
    // here the fabric itself sprays every packet over both, and doubles half
    // of them, which is worse than any split.
    // Cause: both upstreams accept the connection. That cannot happen: each
    // answers with its own initial sequence number, the caller acknowledges
    // one of them, and the other upstream never delivers a byte.
    output_folder const folder;
    std::vector<child_process> upstreams;
    for (std::string const& address : upstream_addresses)
    {
        upstreams.push_back(folder.start(
            address, {"upstream", "--address=" + address + ":6080",
                      "--service=" + service, "--fabric=" + fabric_address,
                      "--health=" + address + ":" + std::to_string(health_port),
                      "--name=host-" + address}));
        upstreams.back().wait_for_output("ready");
    }
    child_process fabric = folder.start(
        "fabric",
        {"fabric", "--listen=" + fabric_address,
         "--vms=" + upstream_addresses[0] + "," + upstream_addresses[1],
         "--vm-port=6080", "--duplicate=500",
         "--callers=10.0.0.0/8@127.77.0.30:6090",
         "--control=127.77.0.10:6086"});
    fabric.wait_for_output("ready");
    child_process callers = folder.start(
        "callers",
        {"callers", "--address=127.77.0.30:6090", "--fabric=" + fabric_address,
         "--service=" + service, "--flows=300", "--concurrency=300",
         "--requests=3", "--request-gap-ms=10", "--kind=submit", "--seed=5",
         "--source=10.0.0.1", "--timeout-ms=20000"});
    callers.wait_for_exit();
    std::map<std::string, int> const runs = count_runs();
    cr_assert_gt(runs.size(), 0U, "no request ran at all, so nothing is shown");
    cr_log_info("requests that ran: %zu", runs.size());
    for (auto const& [identifier, times] : runs)
        cr_expect_leq(times, 1, "%s ran %d times", identifier.c_str(), times);
}
