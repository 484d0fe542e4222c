#include <runtime/health_prober.hpp>

#include <base/ipv4.hpp>
#include <runtime/health_answer.hpp>

#include <algorithm>
#include <utility>

namespace cairnhead
{

namespace
{

/// An endpoint that takes longer than this has failed the probe.
constexpr long probe_timeout_milliseconds = 1000;

/// How long the thread sleeps at most; `curl_multi_wakeup` ends it earlier.
constexpr int poll_milliseconds = 1000;

/// An answer is a few dozen bytes. Without a bound one upstream could fill
/// the VM's memory.
constexpr std::size_t maximum_answer_bytes = 4096;

std::string make_url(probe_upstream const& wanted)
{
    auto const address = ipv4_address(wanted.upstream.value());
    return "http://" + format_ipv4(address) + ":" +
           std::to_string(wanted.health_port) + "/health";
}

} // namespace

health_prober::health_prober(callback on_result)
    : on_probed(std::move(on_result)),
      multi(curl_multi_init(), &curl_multi_cleanup), worker(
                                                         [this]
                                                         {
                                                             this->run();
                                                         })
{
}

health_prober::~health_prober()
{
    {
        std::scoped_lock const lock(this->guard);
        this->ending = true;
    }
    curl_multi_wakeup(this->multi.get());
    this->worker.join();
    for (transfer const& unfinished : this->transfers)
        curl_multi_remove_handle(this->multi.get(), unfinished.handle.get());
}

void health_prober::probe(probe_upstream const& wanted)
{
    {
        std::scoped_lock const lock(this->guard);
        this->waiting.push_back(wanted);
    }
    curl_multi_wakeup(this->multi.get());
}

std::size_t health_prober::receive_body(
    char* bytes, std::size_t size, std::size_t count, void* into)
{
    auto& body = *static_cast<std::string*>(into);
    std::size_t const length = size * count;
    // Taking less than was offered ends the transfer with an error.
    if (body.size() + length > maximum_answer_bytes)
        return 0;
    body.append(bytes, length);
    return length;
}

void health_prober::run()
{
    while (!this->is_ending())
    {
        this->start_waiting();
        int running = 0;
        curl_multi_perform(this->multi.get(), &running);
        this->finish_ended();
        curl_multi_poll(
            this->multi.get(), nullptr, 0, poll_milliseconds, nullptr);
    }
}

void health_prober::start_waiting()
{
    std::vector<probe_upstream> wanted;
    {
        std::scoped_lock const lock(this->guard);
        wanted.swap(this->waiting);
    }
    for (probe_upstream const& next : wanted)
        this->start(next);
}

void health_prober::start(probe_upstream const& wanted)
{
    transfer& started = this->transfers.emplace_back();
    started.upstream = wanted.upstream;
    started.handle.reset(curl_easy_init());
    CURL* const handle = started.handle.get();
    std::string const url = make_url(wanted);
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    // The probe asks the upstream itself, whatever the environment says.
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, probe_timeout_milliseconds);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &receive_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &started.body);
    curl_multi_add_handle(this->multi.get(), handle);
}

void health_prober::finish_ended()
{
    int left = 0;
    while (CURLMsg const* const message =
               curl_multi_info_read(this->multi.get(), &left))
    {
        if (message->msg != CURLMSG_DONE)
            continue;
        this->finish(message->easy_handle, message->data.result);
    }
}

void health_prober::finish(CURL* handle, CURLcode outcome)
{
    auto const ended = std::ranges::find_if(
        this->transfers,
        [handle](transfer const& item)
        {
            return item.handle.get() == handle;
        });
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    long const status_if_whole = outcome == CURLE_OK ? status : 0;
    upstream_probed const result{
        read_health_answer(ended->upstream, status_if_whole, ended->body)};
    curl_multi_remove_handle(this->multi.get(), handle);
    this->transfers.erase(ended);
    this->on_probed(result);
}

bool health_prober::is_ending()
{
    std::scoped_lock const lock(this->guard);
    return this->ending;
}

} // namespace cairnhead
