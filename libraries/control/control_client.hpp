#pragma once

#include <control/control_answers.hpp>
#include <control/rpc_errors.hpp>

namespace cairnhead
{

/// How long the command line client waits for a daemon.
inline constexpr duration control_timeout = std::chrono::seconds(5);

/// Asks a daemon. Each call connects anew and waits for the answer; it throws
/// `control_unreachable`.
/// Thread safety: concurrent calls are safe. Precondition of all calls: no
/// KJ event loop runs on the calling thread.
class control_client
{
public:
    /// No precondition.
    control_client(
        ipv4_address daemon_address,
        std::uint16_t daemon_port,
        duration call_timeout = control_timeout);

    [[nodiscard]] status_answer status() const;
    [[nodiscard]] std::vector<member_answer> members() const;
    [[nodiscard]] std::vector<service_answer> services() const;
    [[nodiscard]] std::vector<upstream_answer> upstreams() const;
    [[nodiscard]] explain_answer
    explain(explain_question const& question) const;

private:
    template <typename Answer, typename Ask>
    Answer call(Ask ask) const;

    ipv4_address address;
    std::uint16_t port;
    /// A setting: each call makes its deadline from it.
    duration timeout;
};

} // namespace cairnhead
