#pragma once

#include <emulator/agenda.hpp>
#include <runtime/udp_socket.hpp>
#include <soak/disturbances.hpp>
#include <soak/packet_path.hpp>
#include <soak/soak_record.hpp>
#include <soak/soak_upstreams.hpp>

#include <absl/container/flat_hash_map.h>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace cairnhead::soak
{

/// A route that callers may use.
struct soak_route
{
    std::uint16_t port = 0;
    std::string pool;
};

/// What a probe of a route must find.
enum class probe_expectation : std::uint8_t
{
    served,
    not_served,
};

/// Callers at real sockets. Each opens a flow, sends requests over it with
/// pauses, and repeats what is not acknowledged, as TCP does.
/// Thread safety of all methods: none.
class soak_callers
{
public:
    struct parties
    {
        emulator::agenda& time;
        soak_record& record;
        disturbances const& disturbed;
        packet_path& path;
        soak_upstreams const& upstreams;
        /// The VM to which the fabric sends a caller's packet.
        std::function<std::optional<std::size_t>(
            std::uint32_t caller, std::uint16_t port)>
            choose_vm;
        std::function<socket_address(std::size_t)> entrance;
        std::function<std::size_t(ipv4_address)> vm_at;
        /// A route that is in force for long.
        std::function<soak_route(std::uint64_t draw)> any_route;
    };

    /// Precondition: the parties outlive the object.
    soak_callers(
        parties others,
        socket_address own,
        std::uint32_t count,
        std::uint64_t seed);

    /// Has all callers begin. Precondition: called once.
    void begin();

    /// Opens one flow through one VM, to see whether it serves a route.
    /// Precondition: the VM exists.
    void
    probe(std::size_t vm, soak_route const& route, probe_expectation expected);

    /// Takes what VMs sent to callers. No precondition.
    void receive_resets();

    /// Takes what an upstream sent. No precondition.
    void receive(upstream_answer const& answer);

    [[nodiscard]] int descriptor() const;
    [[nodiscard]] std::optional<flow_number> flow_of(std::uint16_t port) const;

private:
    enum class caller_state : std::uint8_t
    {
        opening,
        waiting,
        pausing,
    };

    struct caller
    {
        std::uint32_t number = 0;
        soak_route route;
        flow_number flow;
        std::uint16_t port = 0;
        caller_state state = caller_state::pausing;
        std::uint32_t tag = 0;
        std::optional<instance_number> served_by;
        std::uint32_t sequence = 0;
        std::uint32_t acknowledged = 0;
        std::uint32_t request = 0;
        bool is_acknowledged = false;
        time_point wanted_at;
        std::uint32_t attempts = 0;
        /// Grows with each thing that it waits for: older timers do nothing.
        std::uint32_t step = 0;
        /// Of a probe.
        std::optional<std::size_t> only_vm;
        probe_expectation expected = probe_expectation::served;
    };

    /// Who used a port last, and for which flow.
    struct port_use
    {
        caller* who = nullptr;
        flow_number flow;
    };

    using caller_action = void (soak_callers::*)(caller&);

    void open(caller& who);
    void start_flow(caller& who);
    void await(caller& who, caller_action repetition);
    void repeat_opening(caller& who);
    void repeat_data(caller& who);
    void request_next(caller& who);
    void send(caller& who, std::uint8_t flags, bool has_data);
    void schedule(caller& who, duration delay, caller_action then);
    void confirm(caller& who, upstream_answer const& answer);
    void take_answer(caller& who, upstream_answer const& answer);
    void end_flow(caller& who, emulator::request_end how);
    void be_reset(caller& who, std::size_t vm);
    void check_reset(caller const& who, std::size_t vm, std::string_view from);
    void check_refusal(caller const& who, std::size_t vm);
    void check_hung(caller const& who);
    void end_probe(caller& who, bool is_served);
    [[nodiscard]] caller* caller_at(std::uint16_t port);
    [[nodiscard]] std::string describe(caller const& who) const;

    parties with;
    socket_address own_address;
    udp_socket socket;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<caller>> callers;
    absl::flat_hash_map<std::uint16_t, port_use> by_port;
    absl::flat_hash_map<flow_number, caller*> by_flow;
    std::uint32_t last_flow = 0;
};

} // namespace cairnhead::soak
