#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cairnhead
{

/// Where an HTTP request goes.
struct http_url
{
    /// Host and port, as in the `Host` header.
    std::string authority;
    /// Path and query, as in the request line; begins with a slash.
    std::string target;
};

/// Reads a URL of the scheme `http`; absent for all others, and for a text
/// that would not fit into a request as it stands. No precondition. Thread
/// safety: no shared state.
[[nodiscard]] std::optional<http_url> parse_http_url(std::string_view url);

} // namespace cairnhead
