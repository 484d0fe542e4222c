#pragma once

#include <base/identifiers.hpp>
#include <settings/settings.hpp>

#include <optional>
#include <string_view>

namespace cairnhead
{

/// A flow as an operator writes it.
struct flow_endpoints
{
    endpoint source;
    endpoint destination;
};

/// One end of flows as an operator writes it.
struct flow_end
{
    ipv4_address address;
    std::optional<std::uint16_t> port;
};

/// Reads `10.0.0.1` or `10.0.0.1:40000`. Throws `usage_error`. Thread safety:
/// no shared state.
[[nodiscard]] flow_end parse_flow_end(std::string_view text);

/// Reads `tcp:10.0.0.1:40000-198.51.100.1:8443`. Throws `usage_error`.
/// Thread safety: no shared state.
[[nodiscard]] flow_endpoints parse_flow(std::string_view text);

/// Reads `127.0.0.1:6084`. Throws `usage_error`. Thread safety: no shared
/// state.
[[nodiscard]] socket_address parse_socket_address(std::string_view text);

} // namespace cairnhead
