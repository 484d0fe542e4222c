#pragma once

#include <base/identifiers.hpp>

#include <exception>
#include <memory>
#include <prometheus/registry.h>
#include <string>

namespace cairnhead
{

class http_server;

/// Thrown when the metrics' address cannot be bound.
class exposer_unavailable : public std::exception
{
public:
    exposer_unavailable(ipv4_address address, std::uint16_t port);
    [[nodiscard]] char const* what() const noexcept override;

private:
    std::string text;
};

/// Serves `/metrics` over HTTP while it exists.
/// Thread safety: scrapes run in a thread of its own.
class metrics_exposer
{
public:
    /// Port zero serves nothing and starts no thread. Throws
    /// `exposer_unavailable` and `kj_thread_unavailable`.
    metrics_exposer(
        std::shared_ptr<prometheus::Registry> registry,
        ipv4_address address,
        std::uint16_t port);
    ~metrics_exposer();
    metrics_exposer(metrics_exposer const&) = delete;
    metrics_exposer& operator=(metrics_exposer const&) = delete;

    /// Whether it serves. No precondition.
    [[nodiscard]] bool is_listening() const;

private:
    std::shared_ptr<prometheus::Registry> served;
    std::unique_ptr<http_server> running;
};

} // namespace cairnhead
