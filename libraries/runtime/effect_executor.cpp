#include <runtime/effect_executor.hpp>

#include <observability/log_report.hpp>

namespace cairnhead
{

effect_executor::effect_executor(executor_parts const& shared_parts)
    : parts(shared_parts)
{
}

void effect_executor::execute(effect_list& effects)
{
    for (effect const& each : effects)
    {
        std::visit(
            [this](auto const& wanted)
            {
                this->carry_out(wanted);
            },
            each);
    }
    effects.clear();
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

} // namespace cairnhead
