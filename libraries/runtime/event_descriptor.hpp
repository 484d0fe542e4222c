#pragma once

#include <runtime/file_descriptor.hpp>

namespace cairnhead
{

/// Wakes the event loop from another thread.
class event_descriptor
{
public:
    /// Throws `system_failure`.
    event_descriptor();

    /// For the event loop. No precondition.
    [[nodiscard]] int descriptor() const;

    /// Makes the descriptor readable. Thread safety: any thread.
    void notify() const;

    /// Makes the descriptor unreadable until the next `notify`.
    /// Thread safety: any thread.
    void clear() const;

private:
    file_descriptor descriptor_of_event;
};

} // namespace cairnhead
