#include <publication/platform_client.hpp>

#include <utility>

namespace cairnhead
{

namespace
{

/// How long the thread sleeps when nothing is due. New calls and the end wake
/// it, and libcurl wakes it for its own timeouts.
constexpr int poll_milliseconds = 60'000;

/// libcurl must be set up once, before any thread uses it.
void set_up_library()
{
    static std::once_flag once;
    std::call_once(
        once,
        []
        {
            curl_global_init(CURL_GLOBAL_DEFAULT);
        });
}

CURLM* make_multi()
{
    set_up_library();
    return curl_multi_init();
}

std::string_view drop_slashes(std::string_view url)
{
    while (url.ends_with('/'))
        url.remove_suffix(1);
    return url;
}

} // namespace

void platform_client::multi_deleter::operator()(CURLM* handle) const
{
    curl_multi_cleanup(handle);
}

platform_client::platform_client(std::string_view url, event_handler receiver)
    : base_url(drop_slashes(url)), handler(std::move(receiver)),
      multi(make_multi()), worker(
                               [this]
                               {
                                   this->run();
                               })
{
}

platform_client::~platform_client()
{
    this->is_stopping = true;
    // A blocking watch may last for half a minute. Without the wake-up a
    // planned stop would hang that long, and be killed by its supervisor.
    curl_multi_wakeup(this->multi.get());
    this->worker.join();
}

void platform_client::watch(platform_index after, duration wait)
{
    this->submit(platform_watch_call{after, wait});
}

void platform_client::fetch(std::string_view name)
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
    {
        std::lock_guard const lock(this->submitted_mutex);
        this->submitted.push_back(std::move(request));
    }
    curl_multi_wakeup(this->multi.get());
}

void platform_client::run()
{
    while (!this->is_stopping)
    {
        this->start_submitted();
        int running = 0;
        curl_multi_perform(this->multi.get(), &running);
        this->finish_ended();
        curl_multi_poll(
            this->multi.get(), nullptr, 0, poll_milliseconds, nullptr);
    }
    for (auto const& [handle, call] : this->calls)
        curl_multi_remove_handle(this->multi.get(), handle);
    this->calls.clear();
}

void platform_client::start_submitted()
{
    std::vector<platform_request> requests;
    {
        std::lock_guard const lock(this->submitted_mutex);
        requests.swap(this->submitted);
    }
    for (auto const& request : requests)
        this->start(request);
}

void platform_client::start(platform_request const& request)
{
    auto call = std::make_unique<platform_call>(this->base_url, request);
    auto* const handle = call->handle();
    auto const is_started =
        handle != nullptr &&
        curl_multi_add_handle(this->multi.get(), handle) == CURLM_OK;
    if (!is_started)
    {
        this->tell(fail_request(request, platform_failure::unreachable));
        return;
    }
    this->calls.emplace(handle, std::move(call));
}

void platform_client::finish_ended()
{
    int left = 0;
    while (auto const* message = curl_multi_info_read(this->multi.get(), &left))
    {
        if (message->msg != CURLMSG_DONE)
            continue;
        this->finish(message->easy_handle, message->data.result);
    }
}

void platform_client::finish(CURL* handle, CURLcode result)
{
    auto const found = this->calls.find(handle);
    if (found == this->calls.end())
        return;
    curl_multi_remove_handle(this->multi.get(), handle);
    auto const call = std::move(found->second);
    this->calls.erase(found);
    this->tell(call->finish(result));
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
