#pragma once

#include <admission/admission.hpp>
#include <event/effect.hpp>
#include <event/event.hpp>
#include <event/settings.hpp>
#include <membership/membership.hpp>
#include <ownership/ownership_table.hpp>
#include <pins/pin_table.hpp>
#include <placement/placement.hpp>
#include <reducer/prediction_gate.hpp>

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

/// What deciding about flows needs of the reducer's parts. All references
/// outlive the call that gets the context.
struct routing_context
{
    vm_identity const& self;
    membership const& members;
    ownership_table const& ownership;
    pin_table& pins;
    placement& placer;
    admission& admitter;
    prediction_gate& predictions;
    directory const& declarations;
    placing_permission permission = placing_permission::joining;

    /// Whether this VM owns the flow by its own view.
    [[nodiscard]] bool is_owner_of(flow_id flow) const;

    /// Adds a pin and counts it against its organisation's limits; nullptr
    /// when the table is full. Precondition: the flow has no pin.
    [[nodiscard]] pin* insert(time_point now, pin_claim const& claim) const;

    /// Counts the pin as a flow that this VM owns, for the load of its
    /// upstream; twice counts once. Precondition: the pin is of `pins`.
    void count_flow(time_point now, pin& counted) const;

    /// Undoes `count_flow`; does nothing to a pin that is not counted.
    void uncount_flow(time_point now, pin& counted) const;

    /// Drops a pin and all that was counted for it. Precondition: the pin is
    /// of `pins`; it is gone afterwards.
    void release(time_point now, pin& released) const;
};

} // namespace cairnhead
