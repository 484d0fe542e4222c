#pragma once

#include <declaration/declaration.hpp>
#include <declaration/declaration_error.hpp>

#include <optional>
#include <string_view>
#include <variant>

namespace cairnhead
{

/// Reads `198.51.100.0/28`, or a lone address as a range of one. Nothing for
/// other text, and for a range whose first address is not on its boundary:
/// its writer meant another range. Thread safety: no shared state.
[[nodiscard]] std::optional<address_range>
parse_address_range(std::string_view text);

/// Reads `198.51.100.1:8443`; the kind says which half is wrong. The
/// protocol is left as it is by default. Thread safety: no shared state.
[[nodiscard]] std::variant<endpoint, declaration_error_kind>
parse_service_address(std::string_view text);

/// The last address of a range. Thread safety: no shared state.
[[nodiscard]] ipv4_address last_address(address_range const& range);

} // namespace cairnhead
