#pragma once

#include <base/identifiers.hpp>
#include <settings/settings.hpp>

#include <string_view>

namespace cairnhead
{

/// A flow as an operator writes it.
struct flow_endpoints
{
    endpoint source;
    endpoint destination;
};

/// Reads `tcp:10.0.0.1:40000-198.51.100.1:8443`. Throws `usage_error`.
/// Thread safety: no shared state.
[[nodiscard]] flow_endpoints parse_flow(std::string_view text);

/// Reads `127.0.0.1:6084`. Throws `usage_error`. Thread safety: no shared
/// state.
[[nodiscard]] socket_address parse_socket_address(std::string_view text);

} // namespace cairnhead
