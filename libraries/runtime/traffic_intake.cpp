#include <runtime/traffic_intake.hpp>

#include <runtime/clocks.hpp>

#include <utility>
#include <vector>

namespace cairnhead
{

traffic_intake::traffic_intake(
    daemon_settings const& read_settings, intake_parts const& shared_parts)
    : settings(read_settings), parts(shared_parts),
      fabric_reader(read_settings.fabric), peer_reader(shared_parts.keys)
{
}

bool traffic_intake::take_from_fabric()
{
    auto const datagrams =
        this->fabric.batch.receive(this->parts.sockets.fabric.descriptor());
    this->begin_batch();
    for (received_datagram const& datagram : datagrams)
    {
        std::visit(
            [&](auto const& read)
            {
                this->take(datagram, read);
            },
            this->fabric_reader.read(datagram, this->oldest_accepted));
    }
    this->finish_batch(this->fabric);
    return datagrams.size() == batch_size;
}

bool traffic_intake::take_from_peers()
{
    auto const datagrams =
        this->peers.batch.receive(this->parts.sockets.peers.descriptor());
    this->begin_batch();
    for (received_datagram const& datagram : datagrams)
    {
        std::visit(
            [&](auto const& read)
            {
                this->take(datagram, read);
            },
            this->peer_reader.read(datagram, this->oldest_accepted));
    }
    this->finish_batch(this->peers);
    return datagrams.size() == batch_size;
}

bool traffic_intake::is_of_refused_flow(packet_view const& packet) const
{
    return this->parts.refusals.has_refused(packet) &&
           !this->parts.driver.has_pin(packet);
}

void traffic_intake::begin_batch()
{
    // The clocks are read after the datagrams: a pause before this line is
    // seen by the reducer, and by the age of what was received.
    // NOTE: A pause between here and `finish_batch` is not seen until the
    // next event; at most one batch is sent by the old view.
    this->parts.driver.refresh_time();
    // NOTE: A wall clock that is set forward by more than the maximum age
    // costs the packets that wait at this moment; callers repeat them.
    this->batch_begun_at = wall_now();
    this->oldest_accepted =
        this->batch_begun_at - this->settings.fabric.maximum_packet_age;
}

duration traffic_intake::time_waited(received_datagram const& datagram) const
{
    // A datagram without a time of its own, or from before the clock was set
    // back, counts as new.
    bool const is_known = datagram.received_at < this->batch_begun_at;
    return is_known ? this->batch_begun_at - datagram.received_at : duration{};
}

void traffic_intake::finish_batch(source& finished)
{
    this->carry_out();
    this->count_overflows(finished);
}

void traffic_intake::carry_out()
{
    std::size_t const undecided = this->parts.driver.carry_out_effects();
    this->parts.sender.flush();
    for (std::size_t index = 0; index < undecided; ++index)
        this->parts.counters.count_fault(index_of(transfer_fault::undecided));
}

bool traffic_intake::must_wait(
    received_datagram const& from, packet_view const& packet)
{
    bool const may_wait = packet.tag.has_value() &&
                          is_opening_phase(packet.phase) &&
                          !this->parts.driver.state().can_place_openings();
    return may_wait &&
           this->openings.add(
               this->parts.driver.now(), from, this->time_waited(from));
}

void traffic_intake::release_openings()
{
    bool const is_informed = this->parts.driver.state().can_place_openings();
    auto const take_next = [this, is_informed]
    {
        return is_informed ? this->openings.take()
                           : this->openings.take_due(this->parts.driver.now());
    };
    // Effects view the bytes of their packets until they are carried out.
    std::vector<waiting_opening> batch;
    while (auto opening = take_next())
    {
        batch.push_back(std::move(*opening));
        this->release(batch.back());
        if (batch.size() < batch_size)
            continue;
        this->carry_out();
        batch.clear();
    }
    if (!batch.empty())
        this->carry_out();
}

void traffic_intake::release(waiting_opening const& opening)
{
    // Its age is given to the reducer, which tells openings that are too old.
    auto const read =
        this->fabric_reader.read(opening.datagram(), opening.received_at);
    if (auto const* const packet = std::get_if<packet_view>(&read))
        this->parts.driver.route(
            *packet, std::nullopt, opening.waited(this->parts.driver.now()));
}

void traffic_intake::count_overflows(source& finished)
{
    // Unsigned, so that the difference is right when the kernel's count wraps.
    std::uint32_t const total = finished.batch.overflowed();
    std::uint32_t const added = total - finished.overflowed;
    finished.overflowed = total;
    for (std::uint32_t index = 0; index < added; ++index)
        this->parts.counters.count_fault(
            index_of(transfer_fault::receive_overflow));
}

void traffic_intake::take(
    received_datagram const& from, packet_view const& packet)
{
    if (!packet.tag.has_value() && this->is_of_refused_flow(packet))
        return this->parts.refusals.continue_refusal(packet);
    if (this->must_wait(from, packet))
        return;
    this->parts.driver.route(packet, std::nullopt, this->time_waited(from));
}

void traffic_intake::take(
    received_datagram const& from, framed_packet const& handed_over)
{
    this->parts.driver.route(
        handed_over.packet, handed_over.frame, this->time_waited(from));
}

void traffic_intake::take(
    received_datagram const& from, control_message const& message)
{
    this->parts.counters.count_control_received(from.bytes.size());
    this->parts.driver.apply(control_arrived{message});
}

void traffic_intake::take(
    received_datagram const& from, datagram_fault const& fault)
{
    this->parts.faults.note(this->parts.driver.now(), fault, from.source);
}

} // namespace cairnhead
