#pragma once

#include "declared_shape.hpp"

#include <reducer/reducer.hpp>

#include <cstddef>
#include <memory>
#include <random>
#include <vector>

namespace cairnhead::measure
{

/// What the driven VM is for a flow.
enum class flow_role : std::uint8_t
{
    owner,
    backup,
    /// Neither: it only hands packets on.
    ingress,
};

/// One reducer whose peers are answers made up here, so that its cost is
/// measured alone. Thread safety of all methods: none.
class driven_reducer
{
public:
    struct settings_type
    {
        std::size_t members = 8;
        declared_shape declared;
        std::uint32_t maximum_pins = 450'000;
    };

    /// The reducer serves when this returns; throws `std::logic_error` if it
    /// cannot be brought to.
    explicit driven_reducer(settings_type const& chosen);

    /// Applies an event without looking at its effects, for timing.
    void apply(event::body_type body);

    /// Applies a caller's packet. The effects are of this packet alone and
    /// valid until the next call.
    effect_list const& receive(packet_arrived const& packet);

    /// Lets time pass with ticks; peers answer.
    void run_for(duration length);

    /// Moves time without events. Precondition: less than the lease.
    void advance(duration length);

    /// Flows for which this VM has the role, all different.
    [[nodiscard]] std::vector<flow_id>
    make_flows(flow_role role, std::size_t count);

    /// A packet of the flow from the fabric.
    [[nodiscard]] static packet_arrived
    make_packet(flow_id flow, packet_phase phase);

    /// Opens and confirms the flow, as its owner or its backup.
    void establish(flow_id flow, flow_role role);

    [[nodiscard]] reducer const& decides() const;
    [[nodiscard]] time_point now() const;
    [[nodiscard]] std::vector<named_document> const& documents() const;
    [[nodiscard]] vm_id member_at(std::size_t position) const;

private:
    void start();
    void deliver(event::body_type body);
    void answer(effect_list const& effects);
    void answer(send_control const& body);
    void answer(fetch_document const& body);
    void answer(watch_platform const& body);
    void answer(report const& body);
    template <typename Other>
    void answer(Other const& body);
    void answer_control(vm_id peer, ping const& message);
    void answer_control(vm_id peer, member_listing const& message);
    void answer_control(vm_id peer, document_listing const& message);
    template <typename Other>
    void answer_control(vm_id peer, Other const& message);
    [[nodiscard]] std::vector<member_update> claims() const;

    settings_type settings;
    std::vector<named_document> published;
    std::mt19937_64 random;
    std::unique_ptr<reducer> driven;
    time_point clock;
    effect_list effects;
    std::vector<event::body_type> answers;
};

} // namespace cairnhead::measure
