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

/// Both clients have the same events.
static_assert(
    std::is_same_v<platform_event, metadata_store_client::event_type>);

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

void start_watch(platform_client& client, watch_platform const& wanted)
{
    client.watch(wanted.after, wanted.wait);
}

void start_watch(metadata_store_client& client, watch_platform const& wanted)
{
    client.watch(wanted.after, wanted.wait, wanted.known, wanted.extent);
}

/// That platform lists no upstreams.
void start_read(platform_client&)
{
}

void start_read(metadata_store_client& client)
{
    client.read_upstreams();
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
    : platform(make_publisher(settings, results)),
      peers(
          {settings.peers.document_port,
           settings.reducer.versions.fetch_timeout},
          keys,
          post_documents(results)),
      prober(post_probes(results))
{
}

remote_calls::publisher
remote_calls::make_publisher(daemon_settings const& settings, inbox& results)
{
    std::string const& url = settings.platform_url;
    switch (settings.publishes)
    {
    case platform_protocol::documents:
        return std::make_unique<platform_client>(
            url, post_platform_events(results));
    case platform_protocol::metadata_store:
        return std::make_unique<metadata_store_client>(
            url, post_platform_events(results),
            [&results](platform_called const& called)
            {
                results.post(called);
            },
            [&results](rejected_entry const& entry)
            {
                results.post(
                    registry_entry_rejected{entry.key, to_text(entry.fault)});
            },
            [&results](upstreams_read read)
            {
                results.post(std::move(read));
            });
    }
    return {};
}

void remote_calls::start(watch_platform const& wanted)
{
    std::visit(
        [&wanted](auto const& client)
        {
            start_watch(*client, wanted);
        },
        this->platform);
}

void remote_calls::start(read_upstreams const&)
{
    std::visit(
        [](auto const& client)
        {
            start_read(*client);
        },
        this->platform);
}

void remote_calls::start(fetch_document const& wanted)
{
    if (wanted.source.has_value())
        return this->peers.fetch(wanted);
    std::visit(
        [&wanted](auto const& client)
        {
            client->fetch(wanted.name, wanted.held);
        },
        this->platform);
}

void remote_calls::start(probe_upstream const& wanted)
{
    this->prober.probe(wanted);
}

} // namespace cairnhead
