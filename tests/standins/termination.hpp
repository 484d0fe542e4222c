#pragma once

#include <chrono>

/// Start and end of a stand-in's process.
namespace cairnhead::standins
{

using clock = std::chrono::steady_clock;
using time_point = clock::time_point;

/// SIGTERM and SIGINT as a descriptor to wait for. Precondition: constructed
/// before any thread starts, since threads inherit the blocked signals.
class termination_signal
{
public:
    termination_signal();

    /// Waits until `readable` can be read or `deadline` has passed. False
    /// once the process has been told to end. Thread safety: any thread.
    [[nodiscard]] bool wait(int readable, time_point deadline) const;

    /// Waits until the process is told to end. Thread safety: any thread.
    void wait() const;

private:
    int descriptor;
};

/// Tells whoever started the process that it listens.
void print_ready();

/// Ends the process without joining its HTTP threads, which may be inside a
/// blocking watch or wait for a kept connection's next request.
[[noreturn]] void end_process(int status);

} // namespace cairnhead::standins
