#pragma once

#include <event/effect.hpp>
#include <event/event.hpp>
#include <runtime/file_descriptor.hpp>
#include <tagging/connection_check.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace cairnhead
{

/// A check that ended, and how long it took.
struct ended_check
{
    upstream_checked result;
    duration took{};
};

/// Finds out whether upstreams can be reached, by connecting to them and to
/// witnesses over TCP and closing the connections at once. A machine that
/// works accepts them even while its upstream is busy.
/// Thread safety of all methods: none; one thread, the packet thread.
class connection_checker
{
public:
    /// Starts a check. When there are too many, or no socket can be had, it
    /// ends without a conclusion: nobody is to be blamed for what this VM
    /// lacks. No precondition.
    void start(check_upstream const& wanted, time_point now);

    /// The checks that ended. To be called after what waits in the sockets of
    /// packets was read, as an answer there outweighs a check. No
    /// precondition.
    [[nodiscard]] std::vector<ended_check> take_ended(time_point now);

    /// When `take_ended` should be called, if at all. No precondition.
    [[nodiscard]] std::optional<time_point> next_due() const;

private:
    struct attempt
    {
        upstream_tag upstream;
        incarnation life;
        time_point started_at;
        connection_check trial;
        std::vector<file_descriptor> suspects;
        std::vector<file_descriptor> witnesses;
    };

    [[nodiscard]] static attempt
    connect(check_upstream const& wanted, time_point now);

    std::vector<attempt> running;
    std::vector<ended_check> ended;
};

} // namespace cairnhead
