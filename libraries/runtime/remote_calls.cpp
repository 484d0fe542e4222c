#include <runtime/remote_calls.hpp>

#include <utility>

namespace cairnhead
{

namespace
{

void post_result(inbox& results, document_result& result)
{
    if (auto* const fetched = std::get_if<document_fetched>(&result))
        return results.post(std::move(*fetched));
    results.post(std::move(std::get<failed_fetch>(result).event));
}

platform_client::event_handler post_platform_events(inbox& results)
{
    return [&results](platform_event event)
    {
        std::visit(
            [&results](auto& body)
            {
                results.post(std::move(body));
            },
            event);
    };
}

document_client::on_result post_documents(inbox& results)
{
    return [&results](document_result result)
    {
        post_result(results, result);
    };
}

health_prober::callback post_probes(inbox& results)
{
    return [&results](upstream_probed const& result)
    {
        results.post(result);
    };
}

} // namespace

remote_calls::remote_calls(
    daemon_settings const& settings, authenticator const& keys, inbox& results)
    : platform(settings.platform_url, post_platform_events(results)),
      peers(
          {settings.peers.document_port,
           settings.reducer.versions.fetch_timeout},
          keys,
          post_documents(results)),
      prober(post_probes(results))
{
}

void remote_calls::start(watch_platform const& wanted)
{
    this->platform.watch(wanted.after, wanted.wait);
}

void remote_calls::start(fetch_document const& wanted)
{
    if (wanted.source.has_value())
        return this->peers.fetch(wanted);
    this->platform.fetch(wanted.name);
}

void remote_calls::start(probe_upstream const& wanted)
{
    this->prober.probe(wanted);
}

} // namespace cairnhead
