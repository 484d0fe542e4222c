#include <runtime/packet_ingest.hpp>

namespace cairnhead
{

packet_ingest::packet_ingest(fabric_settings const& settings)
    : sources(settings.sources.begin(), settings.sources.end())
{
}

packet_ingest::result packet_ingest::read(
    received_datagram const& datagram, wall_time oldest_accepted) const
{
    if (!this->sources.contains(datagram.source.address))
        return transfer_fault::unknown_source;
    if (datagram.is_truncated)
        return transfer_fault::too_long;
    // A process that was paused finds old packets in its socket. Acting on
    // them would send, say, a request that the caller gave up long ago; it
    // shows as requests that run late. The caller has repeated what it still
    // needs.
    if (datagram.received_at < oldest_accepted)
        return transfer_fault::too_old;
    packet_result const read = read_encapsulated(datagram.bytes);
    if (auto const* const fault = std::get_if<packet_fault>(&read))
        return *fault;
    return std::get<packet_view>(read);
}

} // namespace cairnhead
