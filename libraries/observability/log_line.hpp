#pragma once

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

/// The text form of a log line: `time=… level=… event=… key=value …`.
namespace cairnhead
{

enum class log_level : std::uint8_t
{
    debug,
    info,
    warning,
    error,
};

[[nodiscard]] std::string_view to_text(log_level level);

/// One `key=value` of a line.
struct log_field
{
    /// Precondition: a constant of the program, without spaces.
    std::string_view key;
    /// Anything, also text from outside.
    std::string_view value;
};

/// One event as it is logged.
struct log_line
{
    std::chrono::system_clock::time_point time;
    log_level level = log_level::info;
    /// Precondition: a constant of the program, without spaces.
    std::string_view event;
    std::span<log_field const> fields;
};

/// Longer values are cut, so that a document's error text cannot fill the
/// log.
inline constexpr std::size_t maximum_value_bytes = 1024;

/// Formats one line without its newline. Values that hold anything but
/// printable ASCII without spaces, quotes, backslashes and `=` are quoted and
/// escaped: text from a document or a peer must not end the line, add a key
/// or move the operator's cursor.
/// Thread safety: no shared state.
[[nodiscard]] std::string format(log_line const& line);

} // namespace cairnhead
