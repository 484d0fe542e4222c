#pragma once

#include <emulator/emulated_fleet.hpp>
#include <emulator/flow_packet.hpp>
#include <emulator/vm_rotation.hpp>

#include <absl/container/flat_hash_map.h>
#include <functional>
#include <random>
#include <vector>

namespace cairnhead::emulator
{

/// A caller as the fabric sees it.
struct caller_place
{
    std::uint32_t domain = 0;
    endpoint source;
    endpoint destination;
};

/// Where the fabric's packets end.
struct fabric_ends
{
    std::function<void(
        std::uint32_t vm, instance_number upstream, caller_packet const&)>
        reach_upstream;
    std::function<void(flow_number)> refuse;
    std::function<void(endpoint const& source, std::uint32_t acknowledged)>
        reset;
    std::function<void(std::uint32_t vm, check_upstream const&)> check;
};

/// How packets between callers, VMs and upstreams travel.
struct fabric_shape
{
    flow_spread spread = flow_spread::steady;
    std::uint32_t lost_permille = 0;
    std::uint32_t doubled_permille = 0;
    /// From a VM to an upstream of another failure domain, beyond what the way
    /// within a domain takes.
    duration extra_between_domains{};
};

/// Hands callers' packets to VMs, and carries out what the VMs decide about
/// them.
/// Thread safety of all methods: none.
class packet_fabric
{
public:
    /// Precondition: the fleet outlives the object.
    packet_fabric(
        emulated_fleet& around,
        fabric_shape const& chosen_shape,
        std::uint64_t seed,
        fabric_ends chosen);

    /// A caller sends a packet. No precondition.
    void send(caller_place const& from, caller_packet const& packet);

    /// How often a packet arrives that is sent once. No precondition.
    [[nodiscard]] std::uint32_t copies();

    /// The last moment at which no VM was to be had from the failure domain;
    /// long ago for none. No precondition.
    [[nodiscard]] time_point unserved_at(std::uint32_t domain) const;

private:
    void reach(
        std::uint32_t vm,
        caller_place const& from,
        caller_packet const& packet,
        time_point sent_at);
    void carry_out(std::uint32_t vm, effect const& wanted);
    void hand_on(
        std::uint32_t vm,
        tagged_target const& target,
        upstream_tag tag,
        caller_packet const& packet);

    emulated_fleet& fleet;
    fabric_shape shape;
    std::mt19937_64 random;
    fabric_ends ends;
    vm_rotation rotation;
    std::vector<time_point> unserved;
    /// Packets that VMs decide about.
    absl::flat_hash_map<std::uint32_t, caller_packet> in_flight;
    std::uint32_t last_token = 0;
};

} // namespace cairnhead::emulator
