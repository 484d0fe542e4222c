#pragma once

#include <reducer/routing_context.hpp>

#include <cstdint>
#include <map>

namespace cairnhead
{

/// Sweeps the pin table bit by bit: drops expired pins, and copies the pins of
/// idle flows to holders that lack them, within a budget of control bytes.
/// Busy flows need no copying, as their own packets carry their pins.
///
/// A planned leave is the same work with a deadline: it ends after one whole
/// round of the sweep that found every pin copied.
/// Thread safety of all methods: none; one thread, the reducer's.
class handover
{
public:
    handover(handover_settings const& settings, pin_settings const& pins);

    /// Time passed. No precondition.
    void
    tick(time_point now, routing_context const& context, effect_list& effects);

    /// A planned leave starts, to end between these times; the VM is no longer
    /// a holder from the next membership change on. Precondition: not leaving
    /// yet.
    void start_leaving(time_point earliest_end, time_point latest_end);

    /// Whether callers' packets are still sent to this VM, so that a leave is
    /// to take all its time. No precondition.
    void note_use(bool is_used_now);

    /// Whether a planned leave is under way. No precondition.
    [[nodiscard]] bool is_leaving() const;

private:
    void
    sweep(time_point now, routing_context const& context, std::size_t count);
    void visit(time_point now, routing_context const& context, pin& visited);
    void settle_ownership(
        time_point now, routing_context const& context, pin& visited) const;
    void
    copy_if_due(time_point now, routing_context const& context, pin& visited);
    [[nodiscard]] bool has_budget(time_point now) const;
    void queue_copy(time_point now, vm_id target, pin const& copied);
    void flush(effect_list& effects);
    void finish_round();
    void finish_leaving(
        time_point now, routing_context const& context, effect_list& effects);

    handover_settings settings;
    pin_settings pin_limits;
    /// Ordered, as the same events must give the same effects.
    std::map<vm_id, pin_batch> outgoing;
    std::size_t cursor = 0;
    time_point last_sweep_at;
    /// Copies may be queued while this is not in the future; each moves it on
    /// by the time that its bytes take at the permitted rate.
    time_point budget_free_at;
    /// Pins in this round of the sweep that could not be copied yet.
    std::size_t uncopied_in_round = 0;
    time_point leave_earliest_at;
    time_point leave_latest_at;
    bool leaving = false;
    bool is_used = false;
    bool is_left = false;
    /// Whether a round that began after the leave was announced to all found
    /// every pin copied.
    bool is_clean_round_done = false;
    bool is_round_counted = false;
};

} // namespace cairnhead
