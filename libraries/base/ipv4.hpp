#pragma once

#include <base/identifiers.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace cairnhead
{

/// Reads dotted-quad text; nothing for anything else.
[[nodiscard]] std::optional<ipv4_address> parse_ipv4(std::string_view text);

/// Writes dotted-quad text.
[[nodiscard]] std::string format_ipv4(ipv4_address address);

} // namespace cairnhead
