#pragma once

#include <runtime/file_descriptor.hpp>

namespace cairnhead
{

/// Turns SIGTERM and SIGINT into a readable descriptor, and ignores SIGPIPE.
/// Thread safety of all methods: none; one thread, the packet thread.
class signal_source
{
public:
    /// Blocks the signals. Throws `system_failure`. Precondition: no other
    /// thread runs yet, since threads started later inherit the mask; one
    /// that did not would be ended by the signal, and the process with it.
    signal_source();

    /// For the event loop. No precondition.
    [[nodiscard]] int descriptor() const;

    /// How many signals arrived since the last call. No precondition.
    [[nodiscard]] unsigned take();

private:
    file_descriptor signals;
};

} // namespace cairnhead
