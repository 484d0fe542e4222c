#pragma once

#include <base/identifiers.hpp>
#include <loop/kj_thread.hpp>

#include <exception>
#include <functional>
#include <string>
#include <string_view>

namespace cairnhead
{

/// Thrown when an address cannot be bound for HTTP.
class http_address_unavailable : public std::exception
{
public:
    /// Precondition: `error_number` is an `errno` value.
    explicit http_address_unavailable(int error_number);

    /// No precondition. Thread safety: concurrent readers.
    [[nodiscard]] int error_number() const;
    [[nodiscard]] char const* what() const noexcept override;

private:
    int failed_with;
};

struct http_reply
{
    unsigned status = 0;
    /// Not sent when empty.
    std::string content_type;
    std::string body;
};

/// Answers GET calls at one address from a KJ thread of its own. Connections
/// are short; their number and life are bounded, so that whoever opens many
/// cannot use up the VM's descriptors and stop its packets.
class http_server
{
public:
    /// Called on the server's thread with the path, without a query; must not
    /// throw.
    using answerer = std::function<http_reply(std::string_view path)>;

    /// Starts to answer. Throws `http_address_unavailable` and
    /// `kj_thread_unavailable`. Precondition: the answerer is not empty.
    http_server(ipv4_address address, std::uint16_t port, answerer answers);
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    /// Closes the port and all connections at once. Precondition: not called
    /// on the server's thread.
    ~http_server() = default;

private:
    answerer answers;
    /// Last, so that it ends before what it uses.
    kj_thread thread;
};

} // namespace cairnhead
