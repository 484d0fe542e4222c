#pragma once

#include <emulator/emulated_fleet.hpp>
#include <emulator/emulated_upstream.hpp>
#include <emulator/traffic_meter.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace cairnhead::emulator
{

/// An upstream, and when it would answer.
struct quickest_upstream
{
    time_point answers_at;
    instance_number instance;

    auto operator<=>(quickest_upstream const&) const = default;
};

/// All upstreams of a fleet's registry: they start, drain, die and are
/// replaced, and the registry learns of it as it would.
/// Thread safety of all methods: none.
class upstream_farm
{
public:
    using send_answer = std::function<void(
        upstream_packet const& packet, std::uint32_t from_domain)>;

    /// Precondition: fleet and meter outlive the object.
    upstream_farm(
        emulated_fleet& around,
        traffic_meter& counting,
        upstream_shape const& behavior,
        std::uint64_t seed,
        send_answer send);

    /// A packet reaches the machine of an upstream; nothing happens where it is
    /// gone. No precondition.
    void receive(
        instance_number instance,
        caller_packet const& packet,
        published_route const& route);

    /// Upstreams that serve and do not drain, by chance. No precondition.
    [[nodiscard]] std::vector<instance_number>
    pick_serving(std::uint32_t count);

    /// Upstreams drain, and leave when their last flow has ended; for each
    /// another one starts, at the address of the one that left or at another
    /// one. No precondition.
    void replace_as_planned(
        std::vector<instance_number> const& leaving,
        bool is_address_used_again);

    /// Upstreams die; the registry drops them when their leases are over, and
    /// others take their places, then or after the outage if that is longer.
    /// No precondition.
    void kill(
        std::vector<instance_number> const& dying,
        upstream_life how,
        duration outage = {});

    /// All upstreams stand still for a while, as behind a switch that does. No
    /// precondition.
    void stall_all(duration length);

    /// Upstreams take so many times as long for a while. No precondition.
    void slow_down(
        std::vector<instance_number> const& slow,
        std::uint32_t factor,
        duration length);

    /// Upstreams answer all requests with errors for a while, at once. No
    /// precondition.
    void fail(std::vector<instance_number> const& failing, duration length);

    /// The upstream that would answer the route's request first, as one who
    /// sees all queues knows. Those of other failure domains are so much
    /// further away. No precondition.
    [[nodiscard]] std::optional<quickest_upstream> find_quickest(
        published_route const& route,
        duration work,
        std::uint32_t domain,
        duration extra_between_domains) const;

    /// A request that `find_quickest` placed is on its way. Precondition: the
    /// upstream exists.
    void expect(instance_number instance, duration work);

    /// No precondition.
    [[nodiscard]] emulated_upstream const* find(instance_number instance) const;
    [[nodiscard]] emulated_upstream const*
    find_at(connection_target const& place) const;

    /// The failure domain of an upstream. No precondition.
    [[nodiscard]] std::uint32_t
    domain_of(emulated_upstream const& upstream) const;

    /// The failure domains with an upstream of the route that has served for a
    /// while and takes new flows. No precondition.
    [[nodiscard]] std::set<std::uint32_t>
    domains_for(published_route const& route) const;

    /// The busiest upstream's requests over the mean. No precondition.
    [[nodiscard]] double imbalance() const;

private:
    struct planned_end
    {
        instance_number instance;
        bool is_address_used_again = false;
    };

    void start(registered_upstream const& registered);
    void start_later(registered_upstream const& like, duration delay);
    void change_for(
        std::vector<instance_number> const& changed,
        duration length,
        std::function<void(emulated_upstream&, bool is_begin)> const& change);
    void end_drained();
    void note_run(instance_number at, flow_number flow, std::uint32_t request);
    void check_opening(
        emulated_upstream const& reached,
        caller_packet const& packet,
        published_route const& route);

    emulated_fleet& fleet;
    traffic_meter& counted;
    upstream_shape shape;
    std::mt19937_64 random;
    send_answer answer;
    absl::flat_hash_map<instance_number, std::unique_ptr<emulated_upstream>>
        upstreams;
    absl::flat_hash_map<std::string, std::uint32_t> domains;
    std::vector<planned_end> ending;
    absl::flat_hash_map<instance_number, time_point> started_at;
    /// Flow and request.
    absl::flat_hash_set<std::uint64_t> executed;
};

} // namespace cairnhead::emulator
