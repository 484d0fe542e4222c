#pragma once

#include <reducer/reducer.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cairnhead::test
{

/// Applies events to reducers and checks, event by event, what must hold
/// whatever happens: one effect for each packet, no pin that moves or is
/// evicted, no version that falls, no refusal of what was sent, no loops.
class invariant_checker
{
public:
    explicit invariant_checker(std::size_t maximum_pins);

    /// Fits `fleet_settings::apply_event`. Precondition: `vm` names the
    /// reducer, and a new one starts with `started`.
    void apply(
        vm_id vm,
        reducer& decides,
        event const& happened,
        effect_list& effects);

    /// One line for each invariant that did not hold, or empty.
    [[nodiscard]] std::string violations() const;

    /// Hash over all events' effects so far: equal runs give equal digests.
    [[nodiscard]] std::uint64_t digest() const;

private:
    struct pins_before
    {
        std::size_t count = 0;
        /// The pins that the event may not move or remove.
        std::vector<pin> living;
    };

    [[nodiscard]] static pins_before
    remember_pins(reducer const& decides, event const& happened);
    void check_pins(
        vm_id vm,
        reducer const& decides,
        event const& happened,
        pins_before const& before);
    void check_versions(vm_id vm, reducer const& decides);
    void check_packet(
        time_point now,
        packet_arrived const& packet,
        std::vector<effect> const& effects);
    void check(
        time_point now,
        packet_arrived const& packet,
        send_to_upstream const& body);
    void check(
        time_point now, packet_arrived const& packet, send_to_peer const& body);
    void check(
        time_point now,
        packet_arrived const& packet,
        refuse_opening const& body);
    void note(std::string violation);

    std::size_t maximum_pins;
    std::map<vm_id, std::map<std::string, document_version>> versions;
    /// Until when the caller may go on repeating what was sent upstream.
    std::map<flow_id, time_point> sent_until;
    std::map<packet_token, std::size_t> arrivals;
    std::map<packet_token, std::size_t> hops;
    std::set<std::string> noted;
    std::uint64_t effects_digest = 0;
};

} // namespace cairnhead::test
