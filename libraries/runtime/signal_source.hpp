#pragma once

#include <runtime/file_descriptor.hpp>

namespace cairnhead
{

/// Turns SIGTERM, SIGINT and SIGHUP into a readable descriptor, and ignores
/// SIGPIPE. Thread safety of all methods: none; one thread, the packet thread.
class signal_source
{
public:
    /// Blocks the signals. Throws `system_failure`. Precondition: no other
    /// thread runs yet, since threads started later inherit the mask; one
    /// that did not would be ended by the signal, and the process with it.
    signal_source();

    /// For the event loop. No precondition.
    [[nodiscard]] int descriptor() const;

    /// What arrived.
    struct arrivals
    {
        /// SIGTERM and SIGINT.
        unsigned endings = 0;
        /// SIGHUP: the settings file is to be read again.
        bool are_settings_changed = false;
    };

    /// The signals that arrived since the last call. No precondition.
    [[nodiscard]] arrivals take();

private:
    file_descriptor signals;
};

} // namespace cairnhead
