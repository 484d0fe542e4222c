#pragma once

#include <event/effect.hpp>
#include <event/event.hpp>
#include <http/http_caller.hpp>

#include <functional>

namespace cairnhead
{

/// Asks upstreams' health endpoints over HTTP, on a thread of its own.
class health_prober
{
public:
    /// Gets exactly one result for each probe, on the prober's thread.
    using callback = std::function<void(upstream_probed)>;

    /// Starts the thread. Throws `kj_thread_unavailable`. Precondition: the
    /// callback is not empty.
    explicit health_prober(callback on_result);

    health_prober(health_prober const&) = delete;
    health_prober& operator=(health_prober const&) = delete;

    /// Ends the thread; probes under way get no result.
    ~health_prober() = default;

    /// Starts one probe. Thread safety: any thread.
    void probe(probe_upstream const& wanted);

private:
    void start(http_client& client, probe_upstream const& wanted);

    callback on_probed;
    /// Last, so that it ends before what its calls use.
    http_caller caller;
};

} // namespace cairnhead
