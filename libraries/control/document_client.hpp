#pragma once

#include <base/time.hpp>
#include <event/effect.hpp>
#include <event/event.hpp>
#include <wire/authenticator.hpp>

#include <functional>
#include <memory>
#include <string_view>
#include <variant>

namespace cairnhead
{

class kj_thread;

/// Why a document could not be fetched from a peer.
enum class fetch_failure : std::uint8_t
{
    unreachable,
    timed_out,
    /// The peer does not have this version or a later one.
    not_held,
    /// The peer accepts none of our keys.
    refused,
    /// The answer's seal is not of an accepted key.
    not_authentic,
    too_large,
    /// The answer cannot be read, or has an older version than was asked.
    malformed,
};

[[nodiscard]] std::string_view to_text(fetch_failure failure);

/// A failed fetch, with the reason for the log.
struct failed_fetch
{
    document_fetch_failed event;
    fetch_failure reason = fetch_failure::unreachable;
};

using document_result = std::variant<document_fetched, failed_fetch>;

struct document_client_options
{
    /// Where all VMs serve documents.
    std::uint16_t port = 0;
    /// A setting: each fetch makes its deadline from it.
    duration timeout = std::chrono::seconds(2);
};

/// Fetches documents from peers in a thread of its own.
/// Thread safety: `fetch` may be called from any thread.
class document_client
{
public:
    using on_result = std::function<void(document_result)>;

    /// `finished` is called on the client's thread, exactly once for each
    /// fetch while the client lives; it must not throw. Throws
    /// `kj_thread_unavailable`. Precondition: the keys outlive the object.
    document_client(
        document_client_options options,
        authenticator const& keys,
        on_result finished);

    /// Gives up all fetches without results.
    ~document_client();
    document_client(document_client const&) = delete;
    document_client& operator=(document_client const&) = delete;

    /// Starts a fetch and returns at once. How many run at the same time is
    /// for the caller to bound. Precondition: `wanted.source` is set.
    void fetch(fetch_document const& wanted);

private:
    struct shared_state;

    /// Declared before the thread, which uses it until it ends.
    std::unique_ptr<shared_state> state;
    std::unique_ptr<kj_thread> thread;
};

} // namespace cairnhead
