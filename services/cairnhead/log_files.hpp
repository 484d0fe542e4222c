#pragma once

#include <filesystem>
#include <span>
#include <story/flow_story.hpp>
#include <string>
#include <vector>

namespace cairnhead
{

/// A line of a log that cannot be read.
struct skipped_line
{
    std::filesystem::path file;
    std::size_t line = 1;
    malformed_line fault;
};

/// Logs of VMs as they were read.
struct read_logs
{
    std::vector<vm_log> logs;
    /// Lines of other programs, and lines that were cut.
    std::vector<skipped_line> skipped;
};

/// Thrown for a file without a single line of a log.
class not_a_log : public std::exception
{
public:
    explicit not_a_log(skipped_line first);

    /// The first line, and why it is none; of an empty file, line 1. No
    /// precondition. Thread safety: concurrent readers.
    [[nodiscard]] skipped_line const& first() const;

    [[nodiscard]] char const* what() const noexcept override;

private:
    skipped_line first_line;
};

/// Reads logs from files, or all files of a folder. One file may hold lines of
/// several VMs, each with the VM's name before it, as log collectors write
/// them. Throws `unreadable_file` and `not_a_log`. Thread safety: no shared
/// state.
[[nodiscard]] read_logs read_log_files(std::span<std::string const> names);

} // namespace cairnhead
