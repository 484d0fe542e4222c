#include "parties.hpp"
#include "store.hpp"

#include <thin_path/child_process.hpp>
#include <thin_path/fleet_files.hpp>

#include <base/ipv4.hpp>

#include <algorithm>
#include <array>
#include <criterion/criterion.h>
#include <csignal>
#include <fstream>
#include <optional>
#include <sstream>

using namespace cairnhead;
using namespace cairnhead::tagged_path;
using thin_path::child_process;
using thin_path::wait_until;

namespace
{

constexpr int store_port = 8500;
constexpr int readiness_port = 8080;
constexpr std::uint16_t fabric_port = 6080;
constexpr std::uint16_t upstream_port = 8080;
constexpr std::uint64_t first_instance = 0x7f3a91c200000011;

/// Two entry VMs, which failure domains tell apart.
constexpr int a = 0;
constexpr int b = 1;

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

socket_address at(std::string const& address, std::uint16_t port)
{
    return {parse_ipv4(address).value(), port};
}

/// Entry VMs, two upstreams, a caller and a store, all on loopback. The VMs
/// are started by the test.
class fleet
{
public:
    explicit fleet(int test_number)
        : plan(test_number), platform(plan.platform(), store_port),
          opener(
              at(plan.callers(), fabric_port),
              [this]
              {
                  for (upstream_standin& each : this->upstreams)
                      each.serve();
              })
    {
        this->platform.put("op/config", samples::make_configuration(12));
        for (int number = 0; number < 2; ++number)
        {
            this->upstreams.emplace_back(
                at(this->plan.upstream(number), upstream_port),
                first_instance + static_cast<std::uint64_t>(number),
                fabric_port);
            this->register_upstream(this->upstreams.back(), "ready");
        }
    }

    void
    register_upstream(upstream_standin const& which, std::string const& state)
    {
        std::ostringstream key;
        key << "servers/i-" << std::hex << which.instance();
        std::string const address = format_ipv4(which.address().address) + ":" +
                                    std::to_string(upstream_port);
        this->platform.put(key.str(), samples::make_value(address, state));
    }

    void start(int number)
    {
        this->write_settings(number);
        auto const name = "vm-" + std::to_string(number);
        this->vms.at(number).reset();
        this->vms.at(number).emplace(
            std::vector<std::string>{
                CAIRNHEAD_PROGRAM, "run",
                "--settings=" + this->settings_path(number)},
            this->folder.path() / (name + ".log"));
    }

    void start_both()
    {
        for (int const number : {a, b})
            this->start(number);
        for (int const number : {a, b})
            this->wait_for_readiness(number, status_ok);
    }

    void write_settings(int number)
    {
        std::ofstream(this->settings_path(number))
            << "vm: {address: " << this->plan.entry_vm(number)
            << ", failure_domain: " << thin_path::failure_domain_of(number)
            << "}\nfabric: {encapsulation: tagged, listen: \""
            << this->plan.entry_vm(number) << ":" << fabric_port
            << "\", maximum_packet_age: 2s}\nreadiness: {listen: \""
            << this->plan.entry_vm(number) << ":" << readiness_port
            << "\", path: /-/ready}\n"
            << "platform: {protocol: metadata_store, url: \"http://"
            << this->plan.platform() << ":" << store_port
            << "\"}\npeers:\n  port: 6081\n  document_port: 6083\n"
            << "  seeds: [\"" << this->plan.entry_vm(a) << ":6081\", \""
            << this->plan.entry_vm(b) << ":6081\"]\n"
            << "  keys:\n    - {id: 1, secret: \"" << std::string(64, '5')
            << "\"}\nflow_key: \"" << std::string(32, '7')
            << "\"\ncontrol: {port: 6081}\nmetrics: {port: 0}\n"
            << "versions: {join_timeout: 1s, readers_per_domain: 1}\n"
            << "handover: {leave_minimum: 8s, leave_timeout: 16s}\n";
    }

    void break_settings(int number)
    {
        std::ofstream(this->settings_path(number)) << "vm: [\n";
    }

    /// The status that a VM's readiness answers with; 0 for no answer.
    [[nodiscard]] int readiness(int number) const
    {
        httplib::Client client(this->plan.entry_vm(number), readiness_port);
        auto const result = client.Get("/-/ready");
        return result ? result->status : 0;
    }

    void wait_for_readiness(int number, int status) const
    {
        wait_until(
            "readiness " + std::to_string(status),
            [&]
            {
                return this->readiness(number) == status;
            });
    }

    /// Where a VM takes callers' packets.
    [[nodiscard]] socket_address entrance(int number) const
    {
        return at(this->plan.entry_vm(number), fabric_port);
    }

    [[nodiscard]] child_process& vm(int number)
    {
        return this->vms.at(number).value();
    }

    [[nodiscard]] upstream_standin& serving(flow const& served)
    {
        return *std::ranges::find(
            this->upstreams, served.served_by, &upstream_standin::address);
    }

    /// Whether that many flows, opened one after the other through a VM, all
    /// reach other upstreams than `which`.
    bool
    are_opened_elsewhere(int number, upstream_standin const& which, int count)
    {
        while (count > 0 &&
               this->opener.open(this->entrance(number)).served_by !=
                   which.address())
            --count;
        return count == 0;
    }

private:
    [[nodiscard]] std::string settings_path(int number) const
    {
        return this->folder.path() / ("vm-" + std::to_string(number) + ".yaml");
    }

    thin_path::temporary_folder folder;
    thin_path::address_plan plan;
    std::vector<upstream_standin> upstreams;

public:
    store platform;
    caller_standin opener;

private:
    // Last, so that they end before what they speak to.
    std::array<std::optional<child_process>, 2> vms;
};

} // namespace

// Symptom: flows break whenever the router sends them through another VM.
// Sequence: a flow is opened through one VM; its next packets go to the other.
// Cause: a VM that passes on only what it saw being opened.
Test(tagged_path, any_vm_passes_a_flow_on)
{
    fleet bench(101);
    bench.start_both();
    flow opened = bench.opener.open(bench.entrance(a));
    cr_expect_neq(opened.echo, 0);
    for (int const number : {a, b, b, a})
        bench.opener.send_data(bench.entrance(number), opened);
}

// Symptom: flows break when a VM dies, or a VM that starts while the store is
// down serves nothing.
// Sequence: a VM is killed; the other one goes on with its flow; the first one
// starts again while the store answers 503.
// Cause: what stood on the dead VM alone, and a start that needs the store.
Test(tagged_path, a_killed_vm_costs_no_flow_and_learns_from_its_peer)
{
    fleet bench(102);
    bench.start_both();
    flow opened = bench.opener.open(bench.entrance(a));
    bench.opener.send_data(bench.entrance(a), opened);
    bench.vm(a).signal(SIGKILL);
    cr_expect_eq(bench.vm(a).wait_for_exit(), -SIGKILL);
    bench.opener.send_data(bench.entrance(b), opened);

    bench.platform.set_down(true);
    bench.start(a);
    bench.wait_for_readiness(a, status_ok);
    bench.opener.send_data(bench.entrance(a), opened);
    flow later = bench.opener.open(bench.entrance(a));
    bench.opener.send_data(bench.entrance(b), later);
}

// Symptom: an upstream that drains gets new flows, or its flows are cut.
// Sequence: an upstream with an open flow reports that it drains.
// Cause: a registry entry that counts for all packets or for none.
Test(tagged_path, a_draining_upstream_keeps_only_its_flows)
{
    fleet bench(103);
    bench.start_both();
    flow opened = bench.opener.open(bench.entrance(a));
    upstream_standin const& draining = bench.serving(opened);
    bench.register_upstream(draining, "draining");
    for (int const number : {a, b})
    {
        // Of two that are alike, neither goes without so many in a row.
        wait_until(
            "new flows go elsewhere",
            [&]
            {
                return bench.are_opened_elsewhere(number, draining, 20);
            });
        bench.opener.send_data(bench.entrance(number), opened);
    }
    cr_expect(bench.are_opened_elsewhere(a, draining, 20));
    cr_expect(bench.are_opened_elsewhere(b, draining, 20));
}

// Symptom: a VM gets packets before it can route them, or the packets that
// still reach a VM which is about to stop are lost.
// Sequence: VMs start while the store is down; it comes up; one VM is told to
// stop, and packets go on reaching it.
// Cause: readiness that does not follow what the VM knows and intends.
Test(tagged_path, readiness_follows_the_registry_and_the_stop)
{
    fleet bench(104);
    bench.platform.set_down(true);
    for (int const number : {a, b})
        bench.start(number);
    for (int const number : {a, b})
        bench.wait_for_readiness(number, status_unavailable);
    wait_until(
        "the store was asked often and in vain",
        [&]
        {
            return bench.platform.refused() >= 6;
        });
    cr_expect_eq(bench.readiness(a), status_unavailable);
    cr_expect_eq(bench.readiness(b), status_unavailable);
    bench.platform.set_down(false);
    for (int const number : {a, b})
        bench.wait_for_readiness(number, status_ok);

    flow opened = bench.opener.open(bench.entrance(a));
    bench.vm(a).signal(SIGTERM);
    bench.wait_for_readiness(a, status_unavailable);
    bench.opener.send_data(bench.entrance(a), opened);
    cr_expect_eq(bench.vm(a).wait_for_exit(), 0);
    bench.opener.send_data(bench.entrance(b), opened);
}

// Symptom: a VM ends with exit code 129 and its flows wait.
// Sequence: the platform changes the settings file and sends SIGHUP; later the
// file is broken.
// Cause: a signal that nobody handled.
Test(tagged_path, changed_settings_end_no_vm)
{
    fleet bench(105);
    bench.start_both();
    flow opened = bench.opener.open(bench.entrance(a));
    bench.vm(a).signal(SIGHUP);
    bench.vm(a).wait_for_output("settings_read_again");
    bench.opener.send_data(bench.entrance(a), opened);

    bench.break_settings(a);
    bench.vm(a).signal(SIGHUP);
    bench.vm(a).wait_for_output("settings_rejected");
    bench.opener.send_data(bench.entrance(a), opened);
    cr_expect_eq(bench.readiness(a), status_ok);
}

// Symptom: a caller waits out its whole time for a request on an open flow.
// Sequence: the flow's upstream is cut off without a word: no answer to
// packets, and connections to it hang.
// Cause: nobody tells the caller that its flow is lost.
Test(tagged_path, a_flow_of_a_silent_upstream_is_reset)
{
    fleet bench(106);
    bench.start_both();
    flow opened = bench.opener.open(bench.entrance(a));
    bench.opener.send_data(bench.entrance(a), opened);
    bench.serving(opened).go_silent();
    auto const [reset, sender] =
        bench.opener.provoke_reset(bench.entrance(a), opened);
    cr_expect(reset.source == route);
    cr_expect(reset.destination == opened.caller);
    cr_expect_eq(reset.sequence, opened.acknowledgement);
    cr_expect_eq(reset.sum, 0);
    cr_expect(reset.data.empty());
    cr_expect(sender == bench.entrance(a));
}
