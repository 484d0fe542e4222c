#include <runtime/refuser.hpp>

#include <packet/refusal.hpp>
#include <runtime/clocks.hpp>

namespace cairnhead
{

namespace
{

refusal_counter counter_now()
{
    auto const periods = wall_now().time_since_epoch() / refusal_counter_period;
    return refusal_counter(static_cast<std::uint32_t>(periods));
}

bool may_follow_refusal(packet_view const& packet)
{
    return packet.phase == packet_phase::ongoing ||
           packet.phase == packet_phase::closing ||
           packet.phase == packet_phase::reset;
}

} // namespace

refuser::refuser(daemon_settings const& settings, packet_sender& caller_sender)
    : sender(caller_sender), responder(settings.flow_key)
{
}

void refuser::refuse(packet_view const& opening, refuse_opening const& refusal)
{
    if (opening.tag.has_value())
        return this->sender.reset_tagged(opening);
    if (opening.destination.protocol == transport_protocol::udp)
        return this->sender.send_to_caller(make_icmp_prohibited(opening));
    if (refusal.style == refusal_style::http_503)
        return this->refuse_by_http(opening, refusal);
    this->sender.send_to_caller(make_tcp_reset(opening));
}

bool refuser::has_refused(packet_view const& packet) const
{
    return may_follow_refusal(packet) &&
           this->responder.recognises(packet, counter_now());
}

void refuser::continue_refusal(packet_view const& packet)
{
    // The first answer carried the time to come back; later ones repeat it.
    auto const answer = this->responder.answer(
        packet, std::chrono::seconds::zero(), counter_now());
    if (answer.has_value())
        this->sender.send_to_caller(*answer);
}

void refuser::refuse_by_http(
    packet_view const& opening, refuse_opening const& refusal)
{
    auto const retry_after = std::chrono::ceil<std::chrono::seconds>(
        refusal.retry_at - monotonic_now());
    auto const answer =
        this->responder.answer(opening, retry_after, counter_now());
    if (answer.has_value())
        this->sender.send_to_caller(*answer);
}

} // namespace cairnhead
