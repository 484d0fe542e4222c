#pragma once

#include <exception>
#include <functional>
#include <kj/async-io.h>
#include <mutex>
#include <thread>
#include <vector>

namespace cairnhead
{

/// Thrown when the process lacks what a KJ thread needs, such as file
/// descriptors.
class kj_thread_unavailable : public std::exception
{
public:
    [[nodiscard]] char const* what() const noexcept override;
};

/// What runs on a KJ thread may use.
struct kj_loop
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

/// A POSIX thread that runs a KJ event loop, which Cap'n Proto RPC and KJ's
/// HTTP need. The packet thread has a loop of its own and must wait for
/// neither.
/// Thread safety: `post` may be called from any thread.
class kj_thread
{
public:
    using task = std::function<void(kj_loop&)>;

    /// Throws `kj_thread_unavailable` when the loop cannot be set up.
    kj_thread();

    /// Cancels all that runs, at once, and ends the thread.
    /// Precondition: not called on the thread itself.
    ~kj_thread();
    kj_thread(kj_thread const&) = delete;
    kj_thread& operator=(kj_thread const&) = delete;

    /// Runs a task on the thread, in the order posted; it must not throw.
    /// Tasks that did not begin before the destructor are dropped.
    /// Precondition: not empty.
    void post(task work);

private:
    using waker = kj::Own<kj::CrossThreadPromiseFulfiller<void>>;

    void run(std::function<void()> const& tell_started);
    [[nodiscard]] bool run_posted(kj_loop& loop);
    [[nodiscard]] bool is_ending();
    void wake_up();

    std::mutex mutex;
    std::vector<task> posted;
    bool is_stopping = false;
    /// Set while the loop waits. Guarded by the mutex.
    waker sleeping;
    std::thread thread;
};

} // namespace cairnhead
