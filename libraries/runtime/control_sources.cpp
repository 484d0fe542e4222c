#include <runtime/control_sources.hpp>

#include <runtime/answer_builder.hpp>
#include <runtime/clocks.hpp>

#include <packet/packet_view.hpp>
#include <utility>

namespace cairnhead
{

namespace
{

/// The same hash as that of the flow's packets.
flow_id
hash_question(explain_question const& question, daemon_settings const& settings)
{
    packet_view packet;
    packet.source = question.source;
    packet.destination = question.destination;
    return hash_flow(packet, settings.flow_key);
}

explain_request make_request(
    explain_question const& question,
    daemon_settings const& settings,
    reply_to<explain_answer> reply)
{
    explain_request request;
    request.flow = hash_question(question, settings);
    request.destination = question.destination;
    request.answer = [reply = std::move(reply)](flow_explanation const& found)
    {
        reply(make_explanation(found));
    };
    return request;
}

status_answer make_status_now(
    daemon_settings const& settings,
    daemon_view const& view,
    time_point started_at)
{
    status_answer answer = make_status(settings, view);
    auto const uptime = monotonic_now() - started_at;
    auto const seconds =
        std::chrono::duration_cast<std::chrono::seconds>(uptime);
    answer.uptime_seconds = static_cast<std::uint64_t>(seconds.count());
    return answer;
}

/// Answers a question by what `make` picks from a view of the moment.
template <typename Answer, typename Make>
answered_by<Answer> answer_from_view(inbox& arrivals, Make make)
{
    return [&arrivals, make](reply_to<Answer> reply)
    {
        arrivals.post(view_request{
            [make, reply = std::move(reply)](daemon_view const& view)
            {
                reply(make(view));
            }});
    };
}

} // namespace

control_source
make_control_source(daemon_settings const& settings, inbox& arrivals)
{
    control_source source;
    source.status = answer_from_view<status_answer>(
        arrivals,
        [&settings, started_at = monotonic_now()](daemon_view const& view)
        {
            return make_status_now(settings, view, started_at);
        });
    source.members = answer_from_view<std::vector<member_answer>>(
        arrivals,
        [&settings](daemon_view const& view)
        {
            return make_members(settings, view);
        });
    source.services =
        answer_from_view<std::vector<service_answer>>(arrivals, make_services);
    source.upstreams = answer_from_view<std::vector<upstream_answer>>(
        arrivals,
        [&settings](daemon_view const& view)
        {
            return make_upstreams(settings, view);
        });
    source.explain =
        [&settings, &arrivals](
            explain_question const& question, reply_to<explain_answer> reply)
    {
        arrivals.post(make_request(question, settings, std::move(reply)));
    };
    return source;
}

document_source make_document_source(inbox& arrivals)
{
    return [&arrivals](
               std::string name, document_version held_there,
               reply_to<std::optional<document_content>> reply)
    {
        document_request request;
        request.name = std::move(name);
        request.held_there = held_there;
        request.answer =
            [reply = std::move(reply)](std::optional<held_document> const& held)
        {
            if (!held.has_value())
                return reply(std::nullopt);
            reply(document_content{held->version, held->text});
        };
        arrivals.post(std::move(request));
    };
}

} // namespace cairnhead
