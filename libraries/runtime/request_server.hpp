#pragma once

#include <memory>
#include <runtime/inbox.hpp>
#include <settings/settings.hpp>
#include <wire/authenticator.hpp>

namespace cairnhead
{

class rpc_server;

/// Answers operators and peers over RPC.
/// Thread safety of all methods: one thread, the main thread.
class request_server
{
public:
    /// What answering needs. All outlive the server.
    struct parts
    {
        daemon_settings const& settings;
        authenticator const& keys;
        inbox& arrivals;
    };

    /// Starts to serve. Throws `kj_thread_unavailable`,
    /// `rpc_address_unavailable`. No precondition.
    explicit request_server(parts const& shared);

    /// Closes all connections at once.
    ~request_server();
    request_server(request_server const&) = delete;
    request_server& operator=(request_server const&) = delete;

private:
    std::unique_ptr<rpc_server> server;
};

} // namespace cairnhead
