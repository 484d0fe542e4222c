#pragma once

#include <event/event.hpp>
#include <http/http_client.hpp>
#include <publication/platform_failure.hpp>

#include <optional>
#include <string>
#include <variant>

namespace cairnhead
{

/// What the platform client tells the reducer.
using platform_event = std::variant<
    platform_listed,
    platform_failed,
    document_fetched,
    document_fetch_failed>;

/// A blocking watch that is to be made.
struct platform_watch_call
{
    platform_index after;
    duration wait{};
};

/// A document that is to be fetched.
struct platform_document_call
{
    std::string name;
};

using platform_request =
    std::variant<platform_watch_call, platform_document_call>;

/// How a call ended.
struct platform_outcome
{
    platform_event event;
    /// Absent when it succeeded.
    std::optional<platform_failure> failure;
};

/// The outcome of a request that failed. No precondition. Thread safety: no
/// shared state.
[[nodiscard]] platform_outcome
fail_request(platform_request const& request, platform_failure failure);

/// The HTTP call that a request needs; its time begins now. Precondition: the
/// base URL has no slash at its end. Thread safety: no shared state.
[[nodiscard]] http_question
make_question(std::string const& base_url, platform_request const& request);

/// Reads what a request's call gave. No precondition. Thread safety: no shared
/// state.
[[nodiscard]] platform_outcome
read_result(platform_request const& request, http_result result);

} // namespace cairnhead
