#pragma once

#include <event/effect.hpp>
#include <event/event.hpp>

#include <curl/curl.h>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cairnhead
{

/// Asks upstreams' health endpoints over HTTP, on a thread of its own.
class health_prober
{
public:
    /// Gets exactly one result for each probe, on the prober's thread.
    using callback = std::function<void(upstream_probed)>;

    /// Starts the thread. Precondition: `curl_global_init` was called.
    explicit health_prober(callback on_result);

    health_prober(health_prober const&) = delete;
    health_prober& operator=(health_prober const&) = delete;

    /// Ends the thread; probes under way get no result.
    ~health_prober();

    /// Starts one probe. Thread safety: any thread.
    void probe(probe_upstream const& wanted);

private:
    struct transfer
    {
        upstream_id upstream;
        std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> handle{
            nullptr, &curl_easy_cleanup};
        std::string body;
    };

    static std::size_t
    receive_body(char* bytes, std::size_t size, std::size_t count, void* into);
    void run();
    void start_waiting();
    void start(probe_upstream const& wanted);
    void finish_ended();
    void finish(CURL* handle, CURLcode outcome);
    [[nodiscard]] bool is_ending();

    callback on_probed;
    std::unique_ptr<CURLM, decltype(&curl_multi_cleanup)> multi;
    std::list<transfer> transfers;
    std::mutex guard;
    std::vector<probe_upstream> waiting;
    bool ending = false;
    std::thread worker;
};

} // namespace cairnhead
