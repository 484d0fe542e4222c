#pragma once

#include <base/identifiers.hpp>

#include <exception>
#include <string>

namespace cairnhead
{

/// Thrown when an address cannot be bound for RPC.
class rpc_address_unavailable : public std::exception
{
public:
    rpc_address_unavailable(ipv4_address address, std::uint16_t port);
    [[nodiscard]] char const* what() const noexcept override;

private:
    std::string text;
};

/// Why an operator's question has no answer.
enum class control_failure : std::uint8_t
{
    /// No daemon listens there, or it closed the connection.
    unreachable,
    timed_out,
    /// It answered with an error, or with what this release cannot read.
    malformed_answer,
};

/// Thrown when a daemon does not answer.
class control_unreachable : public std::exception
{
public:
    explicit control_unreachable(control_failure failure);
    [[nodiscard]] control_failure reason() const;
    [[nodiscard]] char const* what() const noexcept override;

private:
    control_failure why;
};

} // namespace cairnhead
