#include <runtime/packet_thread.hpp>

#include <event/start_timeline.hpp>
#include <runtime/clocks.hpp>
#include <runtime/view_metrics.hpp>

#include <array>

namespace cairnhead
{

namespace
{

/// Gauges are read off every few seconds at most, and members are counted for
/// them.
constexpr auto gauge_interval = std::chrono::seconds(1);

/// Lines below a warning may wait this long, so that a small VM writes them a
/// few at a time; a VM that is killed loses no more of its story than this.
constexpr auto flush_interval = std::chrono::milliseconds(300);

/// A deadline that is met later than this was missed while packets came in.
constexpr auto late_deadline = std::chrono::milliseconds(2);

/// Bounds the work before a late deadline: a flood must not put it off.
constexpr int drained_batches = 16;

traffic_sockets bind_sockets(daemon_settings const& settings)
{
    ipv4_address const own(settings.reducer.self.id.value());
    return {
        udp_socket({own, settings.fabric.listen_port}),
        udp_socket({settings.peers.listen_address, settings.peers.port})};
}

} // namespace

packet_thread::packet_thread(
    daemon_settings const& settings, shared_services const& services)
    : shared(services), counters(fault_names().size()),
      faults(this->counters, services.log),
      flows(services.log, settings.logging.flows_per_second),
      flow_counts(*services.measured.registry()),
      sockets(bind_sockets(settings)),
      sender(
          settings,
          {this->sockets.fabric.descriptor(), this->sockets.peers.descriptor()},
          services.keys,
          this->counters),
      refusals(settings, this->sender),
      executor(
          {this->packets, this->sender, this->refusals, services.calls,
           this->checks, this->counters, services.log, this->flows,
           this->flow_counts, this->loop}),
      driver(settings, this->packets, this->executor),
      intake(
          settings,
          {this->sockets, services.keys, this->driver, this->sender,
           this->refusals, this->counters, this->faults})
{
    this->watch_sources();
}

void packet_thread::start()
{
    this->driver.refresh_time();
    this->heeds_callers_at = this->driver.now() + longest_start;
    this->driver.apply(started{wall_clock_milliseconds()});
    this->carry_out();
    this->update_gauges();
}

void packet_thread::run()
{
    this->loop.run();
    this->shared.measured.flush(this->counters);
}

void packet_thread::watch_sources()
{
    // In this order: after a pause the tick comes first, so that nothing is
    // decided by the old view; and what peers say comes before new packets.
    this->loop.watch(
        this->ticks.descriptor(),
        [this]
        {
            this->take_tick();
        });
    this->loop.watch(
        this->shared.signals.descriptor(),
        [this]
        {
            this->take_signals();
        });
    this->loop.watch(
        this->shared.arrivals.descriptor(),
        [this]
        {
            this->take_inbox();
        });
    this->loop.watch(
        this->sockets.peers.descriptor(),
        [this]
        {
            static_cast<void>(this->intake.take_from_peers());
        });
    this->loop.watch_paused(
        this->sockets.fabric.descriptor(),
        [this]
        {
            this->take_from_fabric();
        });
    // After the packets: a confirmation that waits in the socket must be seen
    // before its opening is taken for unanswered, and an answer before a check
    // ends that speaks against its upstream.
    this->loop.watch(
        this->deadlines.descriptor(),
        [this]
        {
            this->take_deadline();
        });
}

void packet_thread::take_tick()
{
    this->ticks.acknowledge();
    this->driver.refresh_time();
    this->driver.apply(tick{});
    this->carry_out();
    this->shared.measured.flush(this->counters);
    if (this->driver.now() >= this->next_flush_at)
        this->flush_log();
    if (this->driver.now() >= this->next_gauges_at)
        this->update_gauges();
}

void packet_thread::flush_log()
{
    this->next_flush_at = this->driver.now() + flush_interval;
    this->shared.log.flush();
}

void packet_thread::take_deadline()
{
    auto const due = this->deadlines.acknowledge();
    this->driver.refresh_time();
    if (due && this->driver.now() > *due + late_deadline)
        this->drain_sockets();
    this->take_checks();
    this->driver.apply(deadline_reached{});
    this->carry_out();
}

void packet_thread::drain_sockets()
{
    // What arrived after the loop last looked is not known to the reducer. It
    // would take answers that wait in the sockets for silence.
    for (int batch = 0; batch < drained_batches; ++batch)
    {
        bool const has_more_from_peers = this->intake.take_from_peers();
        bool const has_more_from_fabric = this->intake.take_from_fabric();
        if (!has_more_from_peers && !has_more_from_fabric)
            break;
    }
    this->driver.refresh_time();
}

void packet_thread::take_checks()
{
    for (ended_check const& ended : this->checks.take_ended(this->driver.now()))
    {
        this->flow_counts.observe_check(ended.result.outcome, ended.took);
        this->driver.apply(ended.result);
    }
}

void packet_thread::take_from_fabric()
{
    static_cast<void>(this->intake.take_from_fabric());
    this->arm_deadline();
}

void packet_thread::arm_deadline()
{
    this->deadlines.arm(this->driver.state().next_due());
    this->deadlines.arm(this->checks.next_due());
}

void packet_thread::reread_settings()
{
    auto const found = this->shared.reread_settings();
    if (!found)
        return;
    this->driver.refresh_time();
    this->driver.apply(seeds_changed{found->reducer.seeds});
    this->carry_out();
}

void packet_thread::take_signals()
{
    bool const was_leaving = this->signal_count > 0;
    signal_source::arrivals const arrived = this->shared.signals.take();
    this->signal_count += arrived.endings;
    if (arrived.are_settings_changed)
        this->reread_settings();
    if (this->signal_count > 1)
    {
        this->shared.log.write(log_level::warning, "ended_at_once");
        this->loop.stop();
        return;
    }
    if (was_leaving || this->signal_count == 0)
        return;
    this->driver.refresh_time();
    this->driver.apply(leave_requested{});
    this->carry_out();
}

void packet_thread::take_inbox()
{
    auto items = this->shared.arrivals.take();
    this->driver.refresh_time();
    for (inbox_item& item : items)
    {
        std::visit(
            [this](auto& held)
            {
                this->take(held);
            },
            item);
    }
    this->carry_out();
}

void packet_thread::take(explain_request& asked)
{
    reducer const& state = this->driver.state();
    asked.answer(
        state.explain(this->driver.now(), asked.flow, asked.destination));
}

void packet_thread::take(view_request& asked)
{
    // A copy, which takes a small VM milliseconds: made for who asks, and not
    // each second in case that somebody does.
    asked.answer(
        {this->driver.state().view(this->driver.now()),
         this->executor.totals()});
}

void packet_thread::take(platform_called& called)
{
    this->flow_counts.observe_call(
        called.was_answered ? call_outcome::answered : call_outcome::failed,
        called.reason, called.took);
    if (called.was_answered)
        this->driver.apply(platform_answered{
            called.complete_up_to, called.routes, called.upstreams,
            called.evacuations});
}

void packet_thread::take(registry_entry_rejected& rejected)
{
    this->flow_counts.count_rejected_entry();
    std::array const fields = {
        log_field{"key", rejected.key}, log_field{"fault", rejected.fault}};
    this->shared.log.write(
        log_level::warning, "registry_entry_rejected", std::span(fields));
}

void packet_thread::take(document_request& asked)
{
    auto const found = this->driver.state().documents().find_document(
        asked.name, asked.held_there);
    if (!found.has_value())
        return asked.answer(std::nullopt);
    asked.answer(held_document{found->version, found->text});
}

template <typename Arrived>
void packet_thread::take(Arrived& arrived)
{
    this->driver.apply(std::move(arrived));
}

void packet_thread::carry_out()
{
    // No packet came with these events, so none is left undecided.
    static_cast<void>(this->driver.carry_out_effects());
    this->sender.flush();
    this->shared.is_ready = this->driver.state().is_ready();
    this->intake.release_openings();
    this->heed_callers_when_informed();
    this->arm_deadline();
}

void packet_thread::heed_callers_when_informed()
{
    // Fabrics send callers to a VM that has just started before it knows the
    // registry, most of all where all VMs start at once. Dropped packets come
    // again after 200 ms at the earliest; those that wait in the socket are
    // late by what is left of the start. Openings wait on in the process until
    // the registry is complete.
    bool const is_time = this->driver.state().can_forward_flows() ||
                         this->driver.now() >= this->heeds_callers_at;
    if (this->heeds_callers || !is_time)
        return;
    this->heeds_callers = true;
    this->loop.resume(this->sockets.fabric.descriptor());
}

void packet_thread::update_gauges()
{
    this->next_gauges_at = this->driver.now() + gauge_interval;
    auto const counted = this->driver.state().gauges(this->driver.now());
    cairnhead::update_gauges(this->shared.measured, counted);
    belief_gauges beliefs = count_beliefs(this->driver.now(), counted);
    beliefs.log_lines_left_out = this->shared.log.lines_left_out();
    beliefs.flow_lines_sampled_out = this->flows.sampled_out();
    this->flow_counts.set(beliefs);
}

} // namespace cairnhead
