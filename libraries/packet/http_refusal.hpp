#pragma once

#include <chrono>
#include <cstddef>
#include <string>

/// The text of an HTTP 503 refusal. Private to this library.
namespace cairnhead
{

/// Size of each refusal. It is the same for all, so that an acknowledgement
/// of the whole text says which cookie came before it.
inline constexpr std::size_t http_refusal_size = 92;

/// The response (RFC 9110 15.6.4) with Retry-After. It has no content, so it
/// also answers HEAD. Precondition: 0 to 999 seconds. Thread safety: pure.
[[nodiscard]] std::string make_http_refusal(std::chrono::seconds retry_after);

} // namespace cairnhead
