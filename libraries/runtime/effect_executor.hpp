#pragma once

#include <control/control_answers.hpp>
#include <event/effect.hpp>
#include <observability/flow_log.hpp>
#include <observability/flow_metrics.hpp>
#include <observability/logger.hpp>
#include <observability/packet_counters.hpp>
#include <runtime/connection_checker.hpp>
#include <runtime/event_loop.hpp>
#include <runtime/packet_pool.hpp>
#include <runtime/packet_sender.hpp>
#include <runtime/refuser.hpp>
#include <runtime/remote_calls.hpp>

namespace cairnhead
{

/// What carrying out effects needs. All outlive the executor.
struct executor_parts
{
    packet_pool& packets;
    packet_sender& sender;
    refuser& refusals;
    remote_calls& calls;
    connection_checker& checks;
    packet_counters& counters;
    logger& log;
    flow_log& flows;
    flow_metrics& flow_counts;
    event_loop& loop;
};

/// Turns effects of the reducer into datagrams, calls and log lines.
/// Thread safety of all methods: none; one thread, the packet thread.
class effect_executor
{
public:
    explicit effect_executor(executor_parts const& shared_parts);

    /// Carries out the effects in their order, and empties the list. They were
    /// decided at that moment.
    /// Precondition: the packets that they name are in the pool; an effect
    /// that names another is counted, logged and left out.
    void execute(effect_list& effects, time_point now);

    /// Packets since the start. No precondition.
    [[nodiscard]] packet_totals const& totals() const;

private:
    void execute_one(effect const& wanted);
    void carry_out(send_to_upstream const& wanted);
    void carry_out(send_tagged const& wanted);
    void carry_out(reset_known_flow const& wanted);
    void carry_out(keep_copy const& wanted);
    void carry_out(send_copy const& wanted);
    void carry_out(check_upstream const& wanted);
    void carry_out(send_to_peer const& wanted);
    void carry_out(refuse_opening const& wanted);
    void carry_out(drop_packet const& wanted);
    void carry_out(send_control const& wanted);
    void carry_out(watch_platform const& wanted);
    void carry_out(read_upstreams const& wanted);
    void carry_out(fetch_document const& wanted);
    void carry_out(probe_upstream const& wanted);
    void carry_out(observe_handshake const& wanted);
    void carry_out(leave_complete const& wanted);
    void carry_out(report const& wanted);
    void carry_out(flow_decision const& decided);

    executor_parts parts;
    time_point decided_at;
    packet_totals counted;
};

} // namespace cairnhead
