#pragma once

#include <control/document_client.hpp>
#include <event/effect.hpp>
#include <platform/metadata_store_client.hpp>
#include <publication/platform_client.hpp>
#include <runtime/health_prober.hpp>
#include <runtime/inbox.hpp>
#include <settings/settings.hpp>

#include <memory>
#include <variant>

namespace cairnhead
{

/// Starts calls to the platform, peers and upstreams; their results go to the
/// inbox.
/// Thread safety: `start` may be called from any thread.
class remote_calls
{
public:
    /// Throws `kj_thread_unavailable`. Precondition: the keys and the inbox
    /// outlive the object.
    remote_calls(
        daemon_settings const& settings,
        authenticator const& keys,
        inbox& results);

    /// Starts a call; exactly one result arrives, and of a read of the
    /// upstreams one at most. No precondition.
    void start(watch_platform const& wanted);
    void start(read_upstreams const& wanted);
    void start(fetch_document const& wanted);
    void start(probe_upstream const& wanted);

private:
    /// Whoever speaks the protocol that the settings name.
    using publisher = std::variant<
        std::unique_ptr<platform_client>,
        std::unique_ptr<metadata_store_client>>;

    static publisher
    make_publisher(daemon_settings const& settings, inbox& results);

    publisher platform;
    document_client peers;
    health_prober prober;
};

} // namespace cairnhead
