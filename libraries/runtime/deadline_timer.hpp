#pragma once

#include <base/time.hpp>
#include <runtime/file_descriptor.hpp>

#include <optional>

namespace cairnhead
{

/// Becomes readable at one moment.
/// Thread safety of all methods: none; one thread, the packet thread.
class deadline_timer
{
public:
    /// Throws `system_failure`.
    deadline_timer();

    /// For the event loop. No precondition.
    [[nodiscard]] int descriptor() const;

    /// Makes the descriptor readable at that moment, unless it already will be
    /// earlier: most deadlines are gone before they come, and setting a timer
    /// anew for each costs a system call. Throws `system_failure`. No
    /// precondition.
    void arm(std::optional<time_point> deadline);

    /// Makes the descriptor unreadable until the next `arm`; gives the moment
    /// for which it was armed. No precondition.
    std::optional<time_point> acknowledge();

private:
    file_descriptor timer;
    std::optional<time_point> armed_for;
};

} // namespace cairnhead
