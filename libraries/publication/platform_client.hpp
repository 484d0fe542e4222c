#pragma once

#include <http/http_caller.hpp>
#include <publication/platform_call.hpp>

#include <array>
#include <atomic>
#include <functional>
#include <string>
#include <string_view>

namespace cairnhead
{

/// Calls beyond this many at the same time fail at once.
inline constexpr std::size_t maximum_platform_calls = 64;

/// Reads the platform over HTTP from a thread of its own. Each call of
/// `watch` and `fetch` is answered by exactly one event, except for those
/// that the destructor ends.
class platform_client
{
public:
    /// Called from the client's thread, or from the caller's when there are
    /// too many calls already. Must not throw and must not call the client's
    /// destructor.
    using event_handler = std::function<void(platform_event)>;

    /// Throws `kj_thread_unavailable`. Precondition: the handler is not empty.
    platform_client(std::string_view base_url, event_handler handler);
    platform_client(platform_client const&) = delete;
    platform_client& operator=(platform_client const&) = delete;

    /// Ends all calls in progress without waiting for the platform; they get
    /// no event, and none comes after the destructor has returned.
    /// Precondition: no other method is running.
    ~platform_client() = default;

    /// Starts a blocking watch; answered by `platform_listed` or
    /// `platform_failed`. Precondition: the wait is not negative. Thread
    /// safety: any thread.
    void watch(platform_index after, duration wait);

    /// Fetches a document, always as a whole; answered by `document_fetched` or
    /// `document_fetch_failed`. No precondition. Thread safety: any thread.
    void fetch(std::string_view name, document_version held = {});

    /// How many calls failed in this way so far. No precondition. Thread
    /// safety: any thread.
    [[nodiscard]] std::uint64_t count_failures(platform_failure failure) const;

private:
    void submit(platform_request request);
    void start(http_client& client, platform_request const& request);
    void tell(platform_outcome outcome);

    std::string base_url;
    event_handler handler;
    std::array<std::atomic<std::uint64_t>, platform_failure_kinds> failures{};
    /// Calls submitted and not answered.
    std::atomic<std::size_t> open_calls = 0;
    /// Last, so that it ends before what its calls use.
    http_caller caller;
};

} // namespace cairnhead
