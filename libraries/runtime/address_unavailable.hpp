#pragma once

#include <settings/settings.hpp>

#include <exception>
#include <string>

namespace cairnhead
{

/// Thrown when a UDP address of the settings cannot be bound.
class address_unavailable : public std::exception
{
public:
    /// Precondition: `error_number` is an `errno` value.
    address_unavailable(socket_address wanted, int error_number);

    /// No precondition. Thread safety: concurrent readers, as the others.
    [[nodiscard]] socket_address address() const;

    [[nodiscard]] int error_number() const;

    /// The address and the reason, for the operator.
    [[nodiscard]] char const* what() const noexcept override;

private:
    socket_address unavailable;
    int failed_with;
    std::string text;
};

} // namespace cairnhead
