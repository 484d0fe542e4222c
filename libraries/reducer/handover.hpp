#pragma once

#include <event/effect.hpp>
#include <event/settings.hpp>
#include <membership/membership.hpp>
#include <ownership/ownership_table.hpp>
#include <pins/pin_table.hpp>
#include <placement/placement.hpp>
#include <versions/version_store.hpp>

#include <cstdint>

namespace cairnhead
{

/// What handing over needs to see of the rest.
struct handover_context
{
    vm_identity const& self;
    membership const& members;
    ownership_table const& ownership;
    pin_table& pins;
    placement& placer;
    directory const& declarations;
};

/// Sweeps the pin table bit by bit: drops expired pins, and copies the pins of
/// idle flows to holders that lack them, within a budget of control bytes.
/// Busy flows need no copying, as their own packets carry their pins.
/// Thread safety of all methods: none; one thread, the reducer's.
class handover
{
public:
    handover(handover_settings const& settings, pin_settings const& pins);

    /// Time passed. No precondition.
    void
    tick(time_point now, handover_context const& context, effect_list& out);

    /// A planned leave starts: all pins need a copy elsewhere.
    /// Precondition: not leaving yet.
    void start_leaving(time_point now);

    [[nodiscard]] bool is_leaving() const;

private:
    struct outgoing_batch
    {
        vm_id target;
        pin_batch batch;
    };

    void
    sweep(time_point now, handover_context const& context, effect_list& out);
    void visit(time_point now, handover_context const& context, std::size_t at);
    [[nodiscard]] bool
    is_copy_needed(handover_context const& context, pin const& held) const;
    void queue_copy(handover_context const& context, pin& held);
    void flush(effect_list& out);
    void finish_leaving(time_point now, effect_list& out);

    handover_settings settings;
    pin_settings pin_limits;
    std::vector<outgoing_batch> outgoing;
    std::size_t cursor = 0;
    /// Copies may be sent while this is not in the future: it moves on by the
    /// time that each batch takes at the permitted rate.
    time_point next_batch_at;
    time_point last_sweep_at;
    bool leaving = false;
    bool leave_reported = false;
    time_point leave_earliest_at;
    time_point leave_latest_at;
    /// Pins passed in this round of the sweep that still need a copy.
    std::size_t uncopied_in_round = 0;
    bool clean_round_done = false;
};

} // namespace cairnhead
