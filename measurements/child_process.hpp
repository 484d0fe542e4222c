#pragma once

#include <base/time.hpp>

#include <filesystem>
#include <string>
#include <sys/types.h>
#include <vector>

namespace cairnhead::measure
{

/// One process that the measurement started. It is killed with the object.
/// Thread safety of all methods: none.
class child_process
{
public:
    /// Starts a program whose output goes to a file. Throws
    /// `std::system_error`. Precondition: the command is not empty.
    child_process(
        std::vector<std::string> command, std::filesystem::path const& output);

    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;
    ~child_process();

    /// Processor time of all its threads, in the system's own time and in the
    /// kernel's for it. Precondition: the process runs.
    [[nodiscard]] duration processor_time() const;

private:
    pid_t process = -1;
};

} // namespace cairnhead::measure
