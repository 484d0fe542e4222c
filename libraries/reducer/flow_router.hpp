#pragma once

#include <reducer/routing_context.hpp>

namespace cairnhead
{

/// Decides about one caller's packet: to which upstream or VM it goes, or why
/// it goes nowhere. Appends exactly one packet effect for the packet's token.
///
/// The paths a packet can take (docs/DESIGN.md draws them):
///  - opening: ingress -> owner (places) -> backup (stores) -> upstream;
///  - later packet: ingress -> owner -> upstream, or straight from a holder;
///  - owner without the pin: asks backup and earlier holders in turn; the one
///    that knows hands the pin back with the packet (`adopt`); when nobody
///    does, the owner decides (`exhausted`).
///
/// Lives for one packet. Thread safety of all methods: none.
class flow_router
{
public:
    /// Precondition: all arguments outlive the router.
    flow_router(
        time_point now,
        pin_settings const& settings,
        routing_context const& context,
        packet_arrived const& packet,
        effect_list& effects);

    /// Decides about the packet. Precondition: called once.
    void route();

private:
    [[nodiscard]] pin* find_living_pin();
    void send_by_own_pin(pin& held);
    void route_without_owners(pin* held);
    void route_by_role(frame_role role, pin* held);
    void route_from_ingress(pin* held);
    void route_as_owner(pin* held);
    void route_towards_owner(pin* held);
    void ask_owner(pin* held);
    void store_backup(pin* held);
    [[nodiscard]] bool
    is_replaced_by(pin const& held, pin_claim const& claim) const;
    void keep_conflicting_pin(pin const& held, pin_claim const& claim);
    void answer_second_chance(pin* held);
    void adopt(pin* held);
    void decide_unknown(pin* held);

    [[nodiscard]] bool may_send_directly(pin const& held) const;
    [[nodiscard]] bool is_new_flow_of(pin const& held) const;
    [[nodiscard]] bool is_syn() const;
    [[nodiscard]] bool is_opening_phase() const;
    [[nodiscard]] pin_claim const* consistent_claim() const;
    [[nodiscard]] bool is_claim_consistent(pin_claim const& claim) const;
    [[nodiscard]] bool has_visited(vm_id vm) const;
    [[nodiscard]] bool has_visited_enough() const;
    [[nodiscard]] bool may_ask(vm_id vm) const;
    [[nodiscard]] bool may_have_pin_elsewhere() const;
    [[nodiscard]] std::optional<vm_id> next_to_ask() const;
    [[nodiscard]] std::optional<vm_id> next_earlier_holder() const;

    void seek_pin();
    void give_back_to_owner();
    /// Drops the packet when it answers no.
    [[nodiscard]] bool may_decide();
    void place_opening();
    void place_admitted(service const& service);
    void send_by_prediction();
    [[nodiscard]] bool may_holder_be_cut_off() const;
    void refuse(service const& service, refusal_reason reason, time_point at);

    void forward_pinned(pin& held);
    [[nodiscard]] bool advance_state(pin& held);
    void confirm_opening(pin& held);
    [[nodiscard]] bool repeat_opening(pin& held);
    void move_opening(pin& held, service const& service);
    void forward_with_copy(pin& held);
    [[nodiscard]] pin& note_copied(pin& held) const;

    void drop(drop_reason reason);
    void send_upstream(upstream_id upstream);
    void send_peer(vm_id target, frame_role role);
    void send_peer_with_claim(vm_id target, frame_role role, pin const& held);

    time_point now;
    pin_settings const& settings;
    routing_context const& context;
    packet_arrived const& packet;
    effect_list& effects;
    flow_holders holders;
};

/// Takes pins that another VM copied here; pins held already stay as they
/// are. No precondition. Thread safety: as the objects in the context.
void store_copied_pins(
    time_point now, routing_context const& context, pin_batch const& batch);

} // namespace cairnhead
