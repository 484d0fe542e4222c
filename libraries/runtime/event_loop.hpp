#pragma once

#include <runtime/file_descriptor.hpp>

#include <cstdint>
#include <functional>
#include <vector>

namespace cairnhead
{

/// Waits for readable descriptors by epoll and calls their handlers.
/// Thread safety of all methods: none; one thread, the packet thread.
class event_loop
{
public:
    using handler = std::function<void()>;

    /// Throws `system_failure`.
    event_loop();

    /// Calls the handler whenever the descriptor is readable. Within one
    /// round, handlers run in the order in which they were added.
    /// Precondition: the descriptor stays open until the loop ends.
    void watch(int descriptor, handler on_readable);

    /// As `watch`, but not before `resume`: what arrives meanwhile stays in the
    /// descriptor. Precondition: as of `watch`.
    void watch_paused(int descriptor, handler on_readable);

    /// Precondition: the descriptor was given to `watch_paused`.
    void resume(int descriptor);

    /// Runs until `stop`. Precondition: not running.
    void run();

    /// Ends `run` after the present handler. No precondition.
    void stop();

private:
    struct watched
    {
        int descriptor = -1;
        handler on_readable;
        bool is_ready = false;
    };

    void add(int descriptor, std::uint32_t interests, handler on_readable);
    void wait();
    void call_handlers();

    file_descriptor epoll;
    std::vector<watched> sources;
    bool is_stopped = false;
};

} // namespace cairnhead
