#pragma once

#include <http/http_client.hpp>

#include <functional>

namespace cairnhead
{

/// An HTTP client on a KJ thread of its own.
/// Thread safety: `post` may be called from any thread.
class http_caller
{
public:
    using task = std::function<void(http_client&)>;

    /// Starts the thread. Throws `kj_thread_unavailable`.
    http_caller();
    http_caller(http_caller const&) = delete;
    http_caller& operator=(http_caller const&) = delete;

    /// Cancels all calls at once, and ends the thread. Precondition: not
    /// called on the thread itself.
    ~http_caller() = default;

    /// Runs a task on the thread, in the order posted; it must not throw.
    /// Tasks that did not begin before the destructor are dropped.
    /// Precondition: not empty.
    void post(task work);

private:
    /// Used by the thread alone, on which it is made and ended.
    http_client* client = nullptr;
    kj_thread thread;
};

} // namespace cairnhead
