#pragma once

#include <emulator/agenda.hpp>
#include <emulator/fleet_meter.hpp>
#include <emulator/registry_store.hpp>
#include <emulator/topology.hpp>
#include <emulator/vm_network.hpp>
#include <reducer/reducer.hpp>
#include <wire/authenticator.hpp>

#include <functional>
#include <memory>
#include <random>
#include <vector>

namespace cairnhead::emulator
{

/// How the platform answers.
enum class platform_condition : std::uint8_t
{
    good,
    /// Each call fails at once.
    down,
};

/// A whole fleet in one process: a reducer for each VM, and around them a
/// network, a platform and a clock that are injected. The same topology, seed
/// and steps give the same messages; only processor times are measured.
///
/// What is emulated here is control; callers and upstreams are in
/// `emulated_traffic`, which uses a fleet. Messages are encoded and decoded as
/// between processes, so that their bytes and the work on them are real.
/// Thread safety of all methods: none.
class emulated_fleet
{
public:
    emulated_fleet(topology const& shape, std::uint64_t chosen_seed);
    ~emulated_fleet();
    emulated_fleet(emulated_fleet const&) = delete;
    emulated_fleet& operator=(emulated_fleet const&) = delete;

    /// Starts VMs within a moment of each other; those that run are killed
    /// first. Precondition: the topology has them.
    void start(std::vector<std::uint32_t> const& vms);
    void start_all();

    /// Kills VMs. No precondition.
    void kill(std::vector<std::uint32_t> const& vms);

    /// Kills VMs and starts them anew after a while. No precondition.
    void restart(std::vector<std::uint32_t> const& vms, duration after);

    /// Has VMs leave as planned; they end when they are done. No precondition.
    void leave(std::vector<std::uint32_t> const& vms);

    /// As above; each starts again so long after it ended. No precondition.
    void leave_and_return(
        std::vector<std::uint32_t> const& vms, duration time_to_start);

    /// Stops VMs for a while, as a signal would: what reaches them meanwhile
    /// waits. No precondition.
    void freeze(std::vector<std::uint32_t> const& vms, duration length);

    /// Where cuts are made. No precondition.
    [[nodiscard]] vm_network& network();

    void set_platform(platform_condition condition);

    /// Changes of what the platform publishes. No precondition.
    void replace_upstreams(std::uint32_t count);
    void change_route();
    void add_routes(std::uint32_t count);

    /// Has another registry in force; each of its upstreams that changed counts
    /// as one change. No precondition.
    void publish(std::function<void(registry_store&)> const& change);

    /// Gives a caller's packet to a VM, if it runs. Its token comes back in one
    /// effect. Precondition: the VM is not frozen.
    void pass(std::uint32_t vm, packet_arrived const& packet);

    /// Gives the end of a check to the VM that asked for it, if it still
    /// lives. No precondition.
    void
    end_check(std::uint32_t vm, std::uint32_t life, upstream_checked result);

    /// Who carries out what a VM decides about packets and upstreams; nobody at
    /// first. No precondition.
    using packet_effects =
        std::function<void(std::uint32_t vm, effect const& wanted)>;
    void set_packet_effects(packet_effects carry_out_by);

    void run_for(duration length);

    /// Any VMs that run, by chance; all of a failure domain. No precondition.
    [[nodiscard]] std::vector<std::uint32_t> pick_running(std::uint32_t count);
    [[nodiscard]] std::vector<std::uint32_t>
    pick_domain(std::uint32_t domain, std::uint32_t count) const;

    /// VMs that run and know the registry. No precondition.
    [[nodiscard]] std::uint32_t count_informed() const;
    [[nodiscard]] std::uint32_t count_running() const;

    /// Whether a VM runs; how often it was started; whether it would answer
    /// that callers may be sent to it. No precondition.
    [[nodiscard]] bool is_running(std::uint32_t vm) const;
    [[nodiscard]] std::uint32_t life_of(std::uint32_t vm) const;
    [[nodiscard]] bool is_ready(std::uint32_t vm) const;

    /// Whether it takes in a packet of this phase that has waited at it for so
    /// long; else the packet goes on waiting. Precondition: the VM runs.
    [[nodiscard]] bool
    takes_in(std::uint32_t vm, packet_phase phase, duration waited) const;

    /// When a VM that was frozen goes on; earlier than now for others. No
    /// precondition.
    [[nodiscard]] time_point thaws_at(std::uint32_t vm) const;

    /// Whether packets pass between the failure domains. No precondition.
    [[nodiscard]] bool
    are_connected(std::uint32_t domain, std::uint32_t other) const;

    [[nodiscard]] registry_store const& registry() const;

    /// What is to happen at later moments. No precondition.
    [[nodiscard]] agenda& schedule();

    [[nodiscard]] time_point now() const;
    [[nodiscard]] fleet_meter& meter();
    [[nodiscard]] layout const& place() const;
    [[nodiscard]] reducer const& reducer_of(std::uint32_t vm) const;

    /// Counts as a violation whatever change is not in force by now on a VM
    /// that runs and is not cut off. No precondition.
    void find_late_changes();

private:
    struct node;

    void start_one(std::uint32_t vm);
    void start_when_ended(
        std::uint32_t vm, std::uint32_t life, duration time_to_start);
    void tick(std::uint32_t vm, std::uint32_t life);
    void apply(std::uint32_t vm, event::body_type body);
    void await_deadline(std::uint32_t vm);
    [[nodiscard]] bool is_frozen(std::uint32_t vm) const;
    void schedule_for(
        std::uint32_t vm, duration delay, std::function<void()> action);
    void carry_out(std::uint32_t vm, effect_list const& effects);
    void carry_out(std::uint32_t vm, send_control const& wanted);
    void carry_out(std::uint32_t vm, watch_platform const& wanted);
    void read_stale_upstreams(std::uint32_t vm);
    void tell_upstreams(std::uint32_t vm, duration after);
    void carry_out(std::uint32_t vm, fetch_document const& wanted);
    void carry_out(std::uint32_t vm, report const& told);
    void fetch_from_platform(std::uint32_t vm, fetch_document const& wanted);
    void fetch_from_peer(std::uint32_t vm, fetch_document const& wanted);
    void call_platform(std::uint32_t vm);
    void call_in_vain(std::uint32_t vm);
    void answer_watch(std::uint32_t vm);
    void note_versions(std::uint32_t vm);
    void published(std::string_view name);
    [[nodiscard]] bool
    is_connected(std::uint32_t first, std::uint32_t second) const;
    [[nodiscard]] bool is_reading(std::uint32_t vm) const;
    [[nodiscard]] duration send_time(std::uint32_t vm, std::size_t bytes);
    [[nodiscard]] std::size_t
    encoded_size(std::uint32_t vm, control_body const& body);

    layout where;
    vm_network between_vms;
    std::uint64_t seed;
    std::mt19937_64 random;
    agenda time;
    registry_store store;
    fleet_meter counted;
    authenticator keys;
    std::vector<std::unique_ptr<node>> nodes;
    std::vector<std::uint32_t> seeds;
    platform_condition platform = platform_condition::good;
    std::vector<std::uint8_t> datagram;
    packet_effects packet_listener;
};

} // namespace cairnhead::emulator
