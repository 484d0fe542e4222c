#pragma once

#include <runtime/file_descriptor.hpp>

namespace cairnhead
{

/// Becomes readable each `tick_period`.
/// Thread safety of all methods: none; one thread, the packet thread.
class tick_timer
{
public:
    /// Throws `system_failure`.
    tick_timer();

    /// For the event loop. No precondition.
    [[nodiscard]] int descriptor() const;

    /// Makes the descriptor unreadable until the next period. However many
    /// periods have passed, they are one tick. No precondition.
    void acknowledge() const;

private:
    file_descriptor timer;
};

} // namespace cairnhead
