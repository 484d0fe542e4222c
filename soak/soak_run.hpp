#pragma once

#include <soak/entry_vm.hpp>
#include <soak/peer_relay.hpp>
#include <soak/scenario.hpp>
#include <soak/soak_callers.hpp>
#include <soak/soak_upstreams.hpp>

#include <functional>
#include <memory>
#include <thin_path/fleet_files.hpp>

namespace cairnhead::soak
{

/// Where a run finds the daemon and leaves its logs.
struct soak_places
{
    std::string program;
    std::filesystem::path folder;
    /// Of the run's loopback addresses.
    int network = 200;
};

/// One scenario, played in real time against real daemons.
/// Thread safety of all methods: none.
class soak_run
{
public:
    /// Precondition: nothing uses the run's addresses.
    soak_run(scenario chosen, soak_places const& where);

    /// Plays the scenario to its end, or until the VMs did not come up in
    /// time. `progress` is told of each fault. Precondition: called once.
    void play(std::function<void(std::string const&)> const& progress);

    [[nodiscard]] soak_record const& record() const;

private:
    /// What a VM's process is meant to do.
    struct vm_state
    {
        /// Between it and the store.
        std::unique_ptr<tcp_proxy> link;
        /// Between its peers and it.
        std::unique_ptr<peer_relay> relay;
        std::unique_ptr<tcp_proxy> documents;
        ipv4_address peer_address;
        std::unique_ptr<entry_vm> vm;
        bool is_meant_to_run = false;
        bool is_paused = false;
        std::optional<time_point> leaves_by;
    };

    void make_vms();
    void publish_routes();
    void run_until(time_point end);
    void step();
    void look_after_vms();
    void strike(fault const& what);
    void strike_vm(fault const& what, std::size_t vm);
    void watch_stop(std::size_t vm);
    void strike_store(fault const& what);
    void strike_link(fault const& what, std::size_t vm);
    void strike_peers(fault const& what, std::size_t vm);
    void harm_all_peers(duration length);
    void cut_sender(std::size_t vm, bool is_cut);
    void strike_packets(packet_harm kind, duration length);
    void strike_upstream(fault const& what);
    void change_routes();
    void probe_routes(
        std::uint16_t added, std::uint16_t dropped, time_point changed_at);
    void restart(std::size_t vm);
    void check_usage();
    void check_recovery(
        std::uint64_t requests_before, std::uint64_t answered_before);
    [[nodiscard]] bool are_all_ready() const;
    [[nodiscard]] std::optional<std::size_t>
    choose_vm(std::uint32_t caller, std::uint16_t port) const;
    [[nodiscard]] std::size_t vm_at(ipv4_address address) const;
    [[nodiscard]] bool
    leads_to(std::uint16_t port, std::string const& pool) const;
    [[nodiscard]] time_point now() const;

    scenario plan;
    soak_places places;
    thin_path::address_plan addresses;
    emulator::agenda time;
    soak_record seen;
    disturbances disturbed;
    packet_path path;
    tagged_path::store store;
    std::vector<vm_state> vms;
    /// VMs whose peers do not hear them.
    absl::flat_hash_set<ipv4_address> unheard;
    std::unique_ptr<soak_upstreams> upstreams;
    std::unique_ptr<soak_callers> callers;
    std::uint64_t configuration = 10;
    /// The route that comes and goes; none at first.
    std::uint16_t extra_port = 0;
    std::vector<std::uint16_t> extra_ports;
};

} // namespace cairnhead::soak
