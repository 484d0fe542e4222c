#include <publication/platform_client.hpp>

#include <utility>

namespace cairnhead
{

namespace
{

std::string_view drop_slashes(std::string_view url)
{
    while (url.ends_with('/'))
        url.remove_suffix(1);
    return url;
}

} // namespace

platform_client::platform_client(std::string_view url, event_handler receiver)
    : base_url(drop_slashes(url)), handler(std::move(receiver))
{
}

void platform_client::watch(platform_index after, duration wait)
{
    this->submit(platform_watch_call{after, wait});
}

void platform_client::fetch(std::string_view name, document_version)
{
    this->submit(platform_document_call{std::string(name)});
}

void platform_client::submit(platform_request request)
{
    if (this->open_calls.fetch_add(1) >= maximum_platform_calls)
    {
        this->tell(fail_request(request, platform_failure::too_many_calls));
        return;
    }
    this->caller.post(
        [this, wanted = std::move(request)](http_client& client)
        {
            this->start(client, wanted);
        });
}

void platform_client::start(
    http_client& client, platform_request const& request)
{
    auto answered = client.get(make_question(this->base_url, request));
    // KJ would take in what is thrown here, and the reducer would wait for an
    // event that never comes: its watch would end for good, unseen. Like this
    // the process ends, and is started anew.
    client.keep(answered.then(
        [this, request](http_result&& result) noexcept
        {
            this->tell(read_result(request, std::move(result)));
        }));
}

void platform_client::tell(platform_outcome outcome)
{
    --this->open_calls;
    if (outcome.failure)
        ++this->failures[static_cast<std::size_t>(*outcome.failure)];
    this->handler(std::move(outcome.event));
}

std::uint64_t platform_client::count_failures(platform_failure failure) const
{
    return this->failures[static_cast<std::size_t>(failure)];
}

} // namespace cairnhead
