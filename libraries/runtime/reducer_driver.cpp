#include <runtime/reducer_driver.hpp>

#include <runtime/clocks.hpp>

namespace cairnhead
{

reducer_driver::reducer_driver(
    daemon_settings const& read_settings,
    packet_pool& shared_packets,
    effect_executor& shared_executor)
    : settings(read_settings), packets(shared_packets),
      executor(shared_executor), decider(read_settings.reducer)
{
}

void reducer_driver::refresh_time()
{
    this->current_time = monotonic_now();
}

time_point reducer_driver::now() const
{
    return this->current_time;
}

void reducer_driver::route(
    packet_view const& packet,
    std::optional<peer_frame> const& frame,
    duration waited)
{
    packet_arrived arrived;
    arrived.flow = hash_flow(packet, this->settings.flow_key);
    arrived.destination = packet.destination;
    arrived.phase = packet.phase;
    arrived.token = this->packets.hold(packet);
    arrived.frame = frame;
    arrived.tag = packet.tag;
    arrived.source = packet.source;
    arrived.progress = {
        packet.tcp_sequence, packet.tcp_acknowledgement,
        !packet.payload.empty()};
    if (packet.tag)
        arrived.bytes = packet.bytes;
    arrived.waited = waited;
    this->decider.apply(this->current_time, arrived, this->made);
}

bool reducer_driver::has_pin(packet_view const& packet) const
{
    flow_id const flow = hash_flow(packet, this->settings.flow_key);
    return this->decider.pins().find(flow) != nullptr;
}

std::size_t reducer_driver::carry_out_effects()
{
    this->executor.execute(this->made, this->current_time);
    return this->packets.clear();
}

reducer const& reducer_driver::state() const
{
    return this->decider;
}

} // namespace cairnhead
