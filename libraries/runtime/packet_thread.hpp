#pragma once

#include <observability/flow_log.hpp>
#include <observability/logger.hpp>
#include <observability/metrics.hpp>
#include <runtime/connection_checker.hpp>
#include <runtime/deadline_timer.hpp>
#include <runtime/effect_executor.hpp>
#include <runtime/event_loop.hpp>
#include <runtime/fault_log.hpp>
#include <runtime/inbox.hpp>
#include <runtime/packet_pool.hpp>
#include <runtime/packet_sender.hpp>
#include <runtime/reducer_driver.hpp>
#include <runtime/refuser.hpp>
#include <runtime/remote_calls.hpp>
#include <runtime/signal_source.hpp>
#include <runtime/tick_timer.hpp>
#include <runtime/traffic_intake.hpp>

#include <atomic>
#include <functional>
#include <optional>

namespace cairnhead
{

/// What the packet thread shares with the rest of the process. All outlive it.
struct shared_services
{
    authenticator const& keys;
    signal_source& signals;
    inbox& arrivals;
    remote_calls& calls;
    metrics& measured;
    logger& log;
    std::atomic<bool>& is_ready;
    /// Reads the settings file again; nothing when it cannot be used.
    std::function<std::optional<daemon_settings>()> reread_settings;
};

/// The thread that owns the reducer: waits for packets, timers, signals and
/// results of other threads.
/// Thread safety of all methods: none; one thread.
class packet_thread
{
public:
    /// Binds the sockets. Throws `system_failure` and `address_unavailable`.
    /// Precondition: the settings outlive the object.
    packet_thread(
        daemon_settings const& settings, shared_services const& services);

    /// Has the reducer start. Precondition: called once, before `run`.
    void start();

    /// Runs until the planned leave is complete or a second signal comes.
    /// Throws `system_failure`. Precondition: called once.
    void run();

private:
    void watch_sources();
    void take_tick();
    void take_deadline();
    void drain_sockets();
    void take_checks();
    void take_from_fabric();
    void arm_deadline();
    void take_signals();
    void reread_settings();
    void take_inbox();
    void take(explain_request& asked);
    void take(document_request& asked);
    template <typename Arrived>
    void take(Arrived& arrived);
    void carry_out();
    void heed_callers_when_informed();
    void take(view_request& asked);
    void take(platform_called& called);
    void take(registry_entry_rejected& rejected);
    void update_gauges();
    void flush_log();

    shared_services shared;
    packet_counters counters;
    fault_log faults;
    flow_log flows;
    flow_metrics flow_counts;
    traffic_sockets sockets;
    packet_sender sender;
    refuser refusals;
    packet_pool packets;
    event_loop loop;
    tick_timer ticks;
    deadline_timer deadlines;
    connection_checker checks;
    effect_executor executor;
    reducer_driver driver;
    traffic_intake intake;
    time_point next_gauges_at;
    time_point next_flush_at;
    /// Callers' packets wait in their socket until then, or until the VM knows
    /// the upstreams.
    time_point heeds_callers_at;
    bool heeds_callers = false;
    unsigned signal_count = 0;
};

} // namespace cairnhead
