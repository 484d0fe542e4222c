#pragma once

#include <event/effect.hpp>
#include <event/event.hpp>
#include <runtime/file_descriptor.hpp>

#include <vector>

namespace cairnhead
{

/// Finds out whether upstreams can be reached, by connecting to them over TCP
/// and closing the connection at once. A machine that works accepts it even
/// while its upstream is busy.
/// Thread safety of all methods: none; one thread, the packet thread.
class connection_checker
{
public:
    /// Starts a check. When there are too many, or no socket can be had, it
    /// ends as connected: nobody is to be blamed for what this VM lacks. No
    /// precondition.
    void start(check_upstream const& wanted, time_point now);

    /// The checks that ended. To be called from time to time. No precondition.
    [[nodiscard]] std::vector<upstream_checked> take_ended(time_point now);

private:
    struct attempt
    {
        upstream_tag upstream;
        time_point deadline;
        std::vector<file_descriptor> sockets;
    };

    std::vector<attempt> running;
    std::vector<upstream_checked> ended;
};

} // namespace cairnhead
