#pragma once

#include <settings/settings.hpp>

#include <atomic>
#include <memory>

namespace cairnhead
{

class http_server;

/// Answers the fabric's question whether callers may be sent to this VM: 200
/// while it is ready, 503 otherwise.
class readiness_server
{
public:
    /// Starts to answer, unless the settings turn it off. Throws
    /// `address_unavailable`
    /// and `kj_thread_unavailable`. Precondition: `is_ready` outlives the
    /// object.
    readiness_server(
        ipv4_address own_address,
        readiness_settings const& settings,
        std::atomic<bool> const& is_ready);
    readiness_server(readiness_server const&) = delete;
    readiness_server& operator=(readiness_server const&) = delete;

    /// Closes the port. Thread safety: no other method is running.
    ~readiness_server();

private:
    std::unique_ptr<http_server> server;
};

} // namespace cairnhead
