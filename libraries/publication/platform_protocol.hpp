#pragma once

#include <base/identifiers.hpp>
#include <base/time.hpp>
#include <event/event.hpp>
#include <publication/platform_failure.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <variant>

/// The platform's HTTP interface, apart from its transport.
///
/// `GET URL/v1/documents?after=INDEX&wait=MILLISECONDS` answers when the
/// index is above `after`, or after the wait, with
/// `{"index":N,"documents":[{"name":"allotment","version":3}],
/// "vms":["127.0.1.1"]}`. `GET URL/v1/documents/NAME` answers with a
/// document's text and its version in the header `X-Document-Version`.
namespace cairnhead
{

/// Header that carries a document's version.
inline constexpr std::string_view document_version_header =
    "x-document-version";

/// Longer listings are refused.
inline constexpr std::size_t maximum_listing_bytes = std::size_t{4} << 20;

/// Longer documents are refused.
inline constexpr std::size_t maximum_body_bytes = std::size_t{1} << 20;

using listing_result = std::variant<platform_listed, platform_failure>;

/// Reads a listing. Unknown keys and addresses that cannot be read are passed
/// over; anything else that is not as described refuses the whole, since a
/// part of a listing could pass for an old one. Never throws for a bad body.
/// No precondition. Thread safety: no shared state.
[[nodiscard]] listing_result parse_listing(std::string_view body);

/// Reads the value of the version's header; nothing for zero or for anything
/// but digits. No precondition. Thread safety: no shared state.
[[nodiscard]] std::optional<document_version>
parse_document_version(std::string_view value);

/// The value of the version's header if this is its line, without the blanks
/// around it. No precondition. Thread safety: no shared state.
[[nodiscard]] std::optional<std::string_view>
find_version_value(std::string_view header_line);

/// Precondition: the base has no slash at its end. Thread safety: no shared
/// state.
[[nodiscard]] std::string
make_watch_url(std::string_view base, platform_index after, duration wait);

/// Names come from the platform's own listing: whatever is not plain in a
/// path is escaped. Precondition: as `make_watch_url`. Thread safety: no
/// shared state.
[[nodiscard]] std::string
make_document_url(std::string_view base, std::string_view name);

} // namespace cairnhead
