#include <runtime/effect_executor.hpp>

#include <runtime/clocks.hpp>

#include <observability/log_report.hpp>
#include <runtime/datagram_fault.hpp>

namespace cairnhead
{

effect_executor::effect_executor(executor_parts const& shared_parts)
    : parts(shared_parts)
{
}

void effect_executor::execute(effect_list& effects, time_point now)
{
    this->decided_at = now;
    for (effect const& each : effects)
        this->execute_one(each);
    effects.clear();
}

void effect_executor::execute_one(effect const& wanted)
{
    try
    {
        std::visit(
            [this](auto const& body)
            {
                this->carry_out(body);
            },
            wanted);
    }
    catch (unknown_packet_token const& fault)
    {
        // A packet for which the reducer decides twice would be sent twice.
        // The process goes on: if it ended, one such packet after the other
        // would end VM after VM, and with them flows that have no fault.
        this->parts.counters.count_fault(
            index_of(transfer_fault::unknown_token));
        std::string const token = std::to_string(fault.token().value());
        this->parts.log.write(
            log_level::error, "unknown_packet_token", {{"token", token}});
    }
}

packet_totals const& effect_executor::totals() const
{
    return this->counted;
}

void effect_executor::carry_out(send_to_upstream const& wanted)
{
    packet_view const packet = this->parts.packets.take(wanted.token);
    this->parts.sender.send_to_upstream(packet, wanted.upstream);
    ++this->counted.to_upstream;
}

void effect_executor::carry_out(send_tagged const& wanted)
{
    packet_view const packet = this->parts.packets.take(wanted.token);
    this->parts.sender.send_tagged_packet(packet, wanted.target, wanted.tag);
    ++this->counted.to_upstream;
}

void effect_executor::carry_out(reset_known_flow const& wanted)
{
    packet_view answered;
    answered.source = wanted.caller;
    answered.destination = wanted.destination;
    answered.tcp_acknowledgement = wanted.acknowledged;
    this->parts.sender.reset_tagged(answered);
    this->parts.counters.count_drop(drop_reason::upstream_unreachable);
}

void effect_executor::carry_out(keep_copy const& wanted)
{
    static_cast<void>(this->parts.packets.take(wanted.token));
}

void effect_executor::carry_out(send_copy const& wanted)
{
    packet_view packet;
    packet.bytes = wanted.bytes;
    this->parts.sender.send_tagged_packet(packet, wanted.target, wanted.tag);
    ++this->counted.to_upstream;
}

void effect_executor::carry_out(check_upstream const& wanted)
{
    this->parts.checks.start(wanted, monotonic_now());
}

void effect_executor::carry_out(send_to_peer const& wanted)
{
    packet_view const packet = this->parts.packets.take(wanted.token);
    this->parts.sender.send_to_peer(packet, wanted.target, wanted.frame);
    ++this->counted.to_peer;
}

void effect_executor::carry_out(refuse_opening const& wanted)
{
    packet_view const packet = this->parts.packets.take(wanted.token);
    this->parts.refusals.refuse(packet, wanted);
    this->parts.counters.count_refusal(wanted.organisation, wanted.reason);
    ++this->counted.refused;
}

void effect_executor::carry_out(drop_packet const& wanted)
{
    static_cast<void>(this->parts.packets.take(wanted.token));
    this->parts.counters.count_drop(wanted.reason);
    ++this->counted.dropped;
}

void effect_executor::carry_out(send_control const& wanted)
{
    this->parts.sender.send_control(wanted.target, wanted.body);
}

void effect_executor::carry_out(watch_platform const& wanted)
{
    this->parts.calls.start(wanted);
}

void effect_executor::carry_out(read_upstreams const& wanted)
{
    this->parts.calls.start(wanted);
}

void effect_executor::carry_out(fetch_document const& wanted)
{
    this->parts.calls.start(wanted);
}

void effect_executor::carry_out(probe_upstream const& wanted)
{
    this->parts.calls.start(wanted);
}

void effect_executor::carry_out(observe_handshake const& wanted)
{
    this->parts.counters.observe(wanted);
}

void effect_executor::carry_out(leave_complete const&)
{
    this->parts.loop.stop();
}

void effect_executor::carry_out(report const& wanted)
{
    write_report(this->parts.log, wanted);
}

void effect_executor::carry_out(flow_decision const& decided)
{
    this->parts.flow_counts.count(decided);
    this->parts.flows.write(this->decided_at, decided);
}

} // namespace cairnhead
