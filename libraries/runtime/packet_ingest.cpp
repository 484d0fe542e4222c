#include <runtime/packet_ingest.hpp>

#include <platform/tagged_datagram.hpp>

namespace cairnhead
{

packet_ingest::packet_ingest(fabric_settings const& settings)
    : form(settings.encapsulation),
      sources(settings.sources.begin(), settings.sources.end())
{
}

packet_ingest::result packet_ingest::read(
    received_datagram const& datagram, wall_time oldest_accepted) const
{
    if (!this->is_from_fabric(datagram.source.address))
        return transfer_fault::unknown_source;
    if (datagram.is_truncated)
        return transfer_fault::too_long;
    // A process that was paused finds old packets in its socket. Acting on
    // them would send, say, a request that the caller gave up long ago; it
    // shows as requests that run late. The caller has repeated what it still
    // needs.
    if (datagram.received_at < oldest_accepted)
        return transfer_fault::too_old;
    packet_result const read = this->read_content(datagram.bytes);
    if (auto const* const fault = std::get_if<packet_fault>(&read))
        return *fault;
    return std::get<packet_view>(read);
}

bool packet_ingest::is_from_fabric(ipv4_address source) const
{
    // A fabric that names no addresses is one where nothing else can reach
    // this socket.
    return this->sources.empty() || this->sources.contains(source);
}

packet_result
packet_ingest::read_content(std::span<std::uint8_t const> bytes) const
{
    switch (this->form)
    {
    case fabric_encapsulation::gue:
        return read_encapsulated(bytes);
    case fabric_encapsulation::tagged:
        return read_tagged_datagram(bytes);
    }
    return packet_fault::not_gue;
}

} // namespace cairnhead
