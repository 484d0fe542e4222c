#pragma once

#include <runtime/file_descriptor.hpp>

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

    /// Runs until `stop`. Precondition: not running.
    void run();

    /// Ends `run` after the present handler. No precondition.
    void stop();

private:
    struct watched
    {
        handler on_readable;
        bool is_ready = false;
    };

    void wait();
    void call_handlers();

    file_descriptor epoll;
    std::vector<watched> sources;
    bool is_stopped = false;
};

} // namespace cairnhead
