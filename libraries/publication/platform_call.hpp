#pragma once

#include <event/event.hpp>
#include <publication/platform_failure.hpp>

#include <curl/curl.h>
#include <memory>
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

/// One HTTP call with what has been received of its answer. Thread safety of
/// all methods: none. The object must stay where it is: libcurl holds its
/// address.
class platform_call
{
public:
    /// Precondition: `curl_global_init` was called; the base URL has no slash
    /// at its end.
    platform_call(std::string const& base_url, platform_request request);
    platform_call(platform_call const&) = delete;
    platform_call& operator=(platform_call const&) = delete;
    ~platform_call() = default;

    /// libcurl's handle; null when there was no memory for it. No
    /// precondition.
    [[nodiscard]] CURL* handle() const;

    /// Reads the answer. Precondition: libcurl says that the call ended, with
    /// this result.
    [[nodiscard]] platform_outcome finish(CURLcode result);

private:
    struct handle_deleter
    {
        void operator()(CURL* handle) const;
    };

    void set_options(std::string const& url, duration answer_within);
    [[nodiscard]] std::optional<platform_failure>
    find_failure(CURLcode result) const;
    [[nodiscard]] platform_outcome finish_watch() const;
    [[nodiscard]] platform_outcome
    finish_document(platform_document_call const& asked);
    [[nodiscard]] std::size_t get_body_limit() const;
    [[nodiscard]] std::size_t take_body(std::string_view part);
    static std::size_t receive_body(
        char const* data, std::size_t size, std::size_t count, void* call);
    static std::size_t receive_header(
        char const* data, std::size_t size, std::size_t count, void* call);

    platform_request request;
    std::unique_ptr<CURL, handle_deleter> easy;
    std::string body;
    std::optional<document_version> version;
    bool is_too_large = false;
};

} // namespace cairnhead
