#pragma once

#include <netinet/in.h>
#include <settings/settings.hpp>

/// Conversions between the project's addresses and the kernel's.
namespace cairnhead
{

/// Thread safety: no shared state.
[[nodiscard]] sockaddr_in to_sockaddr(socket_address address);

/// Thread safety: no shared state.
[[nodiscard]] socket_address from_sockaddr(sockaddr_in const& address);

} // namespace cairnhead
