#pragma once

#include <emulator/emulated_fleet.hpp>
#include <emulator/load_tally.hpp>
#include <emulator/packet_fabric.hpp>
#include <emulator/request_arrivals.hpp>
#include <emulator/traffic_meter.hpp>
#include <emulator/upstream_farm.hpp>

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <optional>
#include <random>
#include <vector>

namespace cairnhead::emulator
{

/// What callers do, and how their packets travel.
struct traffic_shape
{
    /// Each has one flow at a time, and opens another when that ends.
    std::uint32_t callers = 0;
    std::uint32_t requests_per_flow = 5;
    /// Between an answer and the next request of the flow.
    duration pause = std::chrono::milliseconds(200);
    upstream_shape upstreams;
    /// Callers give an opening up after this.
    duration opening_patience = std::chrono::seconds(5);
    fabric_shape fabric;
    request_load load;
};

/// One way between callers and upstreams, and half of the way by a VM.
inline constexpr duration way = std::chrono::microseconds(300);

/// The nth caller's. No precondition.
[[nodiscard]] ipv4_address caller_address(std::size_t number);

/// Callers around a fleet, with the fabric and the upstreams.
///
/// Callers repeat what is not acknowledged, as TCP does. What they and the
/// upstreams see is held against what is promised: `traffic_violation`.
/// Thread safety of all methods: none.
class emulated_traffic
{
public:
    /// Precondition: the fleet outlives the object.
    emulated_traffic(
        emulated_fleet& around,
        traffic_shape const& chosen,
        std::uint64_t seed);

    emulated_traffic(emulated_traffic const&) = delete;
    emulated_traffic& operator=(emulated_traffic const&) = delete;

    /// Has all callers begin, spread over a second, and requests arrive if the
    /// shape has a load. Precondition: called once.
    void begin();

    /// To be called when a failure domain is cut off and when it is mended:
    /// flows over the cut may end. No precondition.
    void note_cut(std::uint32_t domain);

    [[nodiscard]] upstream_farm& upstreams();
    [[nodiscard]] traffic_meter& meter();

    /// The load, and what became of it. Precondition: the shape has a load.
    [[nodiscard]] load_tally& tally();
    [[nodiscard]] request_arrivals& arrivals();

private:
    enum class caller_state : std::uint8_t
    {
        opening,
        waiting,
        pausing,
    };

    struct caller
    {
        std::size_t number = 0;
        std::uint32_t domain = 0;
        endpoint source;
        published_route route;
        flow_number flow;
        caller_state state = caller_state::pausing;
        upstream_tag tag;
        /// The upstream whose answer it confirmed, if any.
        std::optional<instance_number> served_by;
        std::uint32_t sequence = 0;
        std::uint32_t acknowledged = 0;
        std::uint32_t request = 0;
        bool is_acknowledged = false;
        /// When it wanted what it waits for.
        time_point wanted_at;
        std::uint32_t attempts = 0;
        /// Grows with each thing that it waits for: older timers do nothing.
        std::uint32_t step = 0;
        /// Of a caller of the load; the rest is for such a caller alone.
        std::optional<std::size_t> load;
        bool has_flow = false;
        std::uint32_t flow_requests = 0;
        duration work{};
        std::uint32_t retries = 0;
        time_point arrived_at;
        /// Where a placer that knows all placed its flow.
        instance_number placed_at;
    };

    using caller_action = void (emulated_traffic::*)(caller&);

    void open(caller& who);
    void request_next(caller& who);
    void await(caller& who);
    void repeat(caller& who);
    void send(caller& who, packet_phase phase, bool has_data);
    void close(caller& who);
    void fail(caller& who, request_end how);
    void schedule(caller& who, duration delay, caller_action then);

    caller& take_resting(std::size_t route, std::uint32_t domain);
    void rest(caller& who);
    void take_request(std::size_t route, std::uint32_t domain, duration work);
    void begin_loaded_flow(caller& who);
    [[nodiscard]] bool place_with_knowledge(caller& who);
    void send_directly(caller const& who, caller_packet const& packet);
    void take_loaded_answer(caller& who, upstream_packet const& packet);
    void close_flow(caller& who);
    void end_try(caller& who, request_end how);
    [[nodiscard]] route_load const& load_of(caller const& who) const;
    [[nodiscard]] std::size_t
    resting_place(std::size_t route, std::uint32_t domain) const;

    void receive(upstream_packet const& packet);
    void confirm(caller& who, upstream_packet const& packet);
    void take_answer(caller& who, upstream_packet const& packet);
    void be_reset(caller& who);
    void be_refused(caller& who);
    void check_reset(caller const& who);
    void check_timeout(caller const& who);

    [[nodiscard]] fabric_ends make_ends();
    void answer_from(upstream_packet const& packet, std::uint32_t domain);
    void answer_check(std::uint32_t vm, check_upstream const& wanted);
    [[nodiscard]] connection_outcome
    outcome_of(std::uint32_t vm, check_upstream const& wanted) const;
    [[nodiscard]] bool
    answers(std::uint32_t vm, connection_target const& place) const;
    [[nodiscard]] caller* caller_of(flow_number flow);
    [[nodiscard]] bool is_disturbed(caller const& who) const;
    [[nodiscard]] bool
    was_cut_between(std::uint32_t domain, std::uint32_t other) const;
    [[nodiscard]] bool may_be_served(caller const& who) const;
    [[nodiscard]] std::string describe(caller const& who) const;

    emulated_fleet& fleet;
    traffic_shape shape;
    std::mt19937_64 random;
    traffic_meter counted;
    upstream_farm farm;
    packet_fabric fabric;
    /// Grows, and its elements stay where they are.
    std::deque<caller> callers;
    load_tally counted_load;
    request_arrivals arriving;
    /// Numbers of callers, by route and failure domain.
    std::vector<std::vector<std::size_t>> resting;
    absl::flat_hash_map<flow_number, std::size_t> by_flow;
    std::uint32_t last_flow = 0;
    /// Of each failure domain; long ago for those that never were.
    std::vector<time_point> cut_at;
};

} // namespace cairnhead::emulator
