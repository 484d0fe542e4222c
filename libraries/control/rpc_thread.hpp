#pragma once

#include <functional>
#include <kj/async-io.h>
#include <mutex>
#include <thread>
#include <vector>

namespace cairnhead
{

/// What runs on an RPC thread may use.
struct rpc_loop
{
    kj::AsyncIoContext& io;
    /// Promises kept here run until they end or the thread stops.
    kj::TaskSet& tasks;

    [[nodiscard]] kj::Timer& timer() const
    {
        return this->io.provider->getTimer();
    }

    [[nodiscard]] kj::Network& network() const
    {
        return this->io.provider->getNetwork();
    }
};

/// A POSIX thread that runs a KJ event loop, which Cap'n Proto RPC needs. The
/// packet thread has a loop of its own and must not wait for RPC.
/// Thread safety: `post` may be called from any thread.
class rpc_thread
{
public:
    using task = std::function<void(rpc_loop&)>;

    /// Throws `rpc_unavailable` when the loop cannot be set up.
    rpc_thread();

    /// Cancels all that runs, at once, and ends the thread.
    /// Precondition: not called on the thread itself.
    ~rpc_thread();
    rpc_thread(rpc_thread const&) = delete;
    rpc_thread& operator=(rpc_thread const&) = delete;

    /// Runs a task on the thread, in the order posted; it must not throw.
    /// Tasks that did not begin before the destructor are dropped.
    /// Precondition: not empty.
    void post(task work);

private:
    using waker = kj::Own<kj::CrossThreadPromiseFulfiller<void>>;

    void run(std::function<void()> const& tell_started);
    [[nodiscard]] bool run_posted(rpc_loop& loop);
    void wake_up();

    std::mutex mutex;
    std::vector<task> posted;
    bool is_stopping = false;
    /// Set while the loop waits. Guarded by the mutex.
    waker sleeping;
    std::thread thread;
};

} // namespace cairnhead
