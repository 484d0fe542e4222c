#pragma once

#include <packet/packet_view.hpp>
#include <reducer/reducer.hpp>
#include <runtime/effect_executor.hpp>
#include <runtime/packet_pool.hpp>
#include <settings/settings.hpp>

#include <optional>
#include <utility>

namespace cairnhead
{

/// Feeds events to the reducer and has its effects carried out.
/// Thread safety of all methods: none; one thread, the packet thread.
class reducer_driver
{
public:
    /// Precondition: all references outlive the object.
    reducer_driver(
        daemon_settings const& read_settings,
        packet_pool& shared_packets,
        effect_executor& shared_executor);

    /// Reads the clock for the events that follow. No precondition.
    void refresh_time();

    /// The time of the events that follow. No precondition.
    [[nodiscard]] time_point now() const;

    /// Applies one event. Precondition: the first is `started`.
    template <typename Body>
    void apply(Body body)
    {
        this->decider.apply({this->current_time, std::move(body)}, this->made);
    }

    /// Has the reducer decide about a caller's packet, which `waited` so long
    /// in its socket. Precondition: fewer than `batch_size` packets since
    /// `carry_out_effects`, whose bytes stay in place until then.
    void route(
        packet_view const& packet,
        std::optional<peer_frame> const& frame,
        duration waited);

    /// Whether this VM has the pin of the packet's flow. No precondition.
    [[nodiscard]] bool has_pin(packet_view const& packet) const;

    /// Carries out all effects so far, and gives the number of packets about
    /// which the reducer did not decide.
    std::size_t carry_out_effects();

    /// For views and explanations. No precondition.
    [[nodiscard]] reducer const& state() const;

private:
    daemon_settings const& settings;
    packet_pool& packets;
    effect_executor& executor;
    reducer decider;
    effect_list made;
    time_point current_time;
};

} // namespace cairnhead
