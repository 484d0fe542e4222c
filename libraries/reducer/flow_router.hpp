#pragma once

#include <admission/admission.hpp>
#include <event/effect.hpp>
#include <event/event.hpp>
#include <event/settings.hpp>
#include <membership/membership.hpp>
#include <ownership/ownership_table.hpp>
#include <pins/pin_table.hpp>
#include <placement/placement.hpp>
#include <versions/version_store.hpp>

namespace cairnhead
{

/// Whether this VM may place openings.
enum class placing_permission : std::uint8_t
{
    allowed,
    /// It does not know the highest versions yet.
    joining,
    /// It was paused and may act on an old view.
    view_expired,
};

/// What routing needs of the rest. All references outlive the call.
struct routing_context
{
    vm_identity const& self;
    membership const& members;
    ownership_table const& ownership;
    pin_table& pins;
    placement& placer;
    admission& admitter;
    directory const& declarations;
    placing_permission permission;
};

/// Decides about one caller's packet: to which upstream or VM it goes, or why
/// it goes nowhere. Holds no state of its own; see docs/DESIGN.md for the
/// paths a packet can take.
/// Thread safety of all methods: as the objects in the context.
class flow_router
{
public:
    explicit flow_router(pin_settings const& settings);

    /// Appends exactly one packet effect for the packet's token, besides
    /// others. Precondition: the context's parts are consistent.
    void route(
        time_point now,
        routing_context const& context,
        packet_arrived const& packet,
        effect_list& effects) const;

    /// Takes pins that another VM copied here. No precondition.
    void store_copies(
        time_point now,
        routing_context const& context,
        pin_batch const& batch,
        effect_list& effects) const;

private:
    struct routing;

    pin_settings settings;
};

} // namespace cairnhead
