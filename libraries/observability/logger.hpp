#pragma once

#include <observability/log_line.hpp>
#include <observability/log_rate_limit.hpp>

#include <functional>
#include <initializer_list>
#include <mutex>
#include <optional>

namespace cairnhead
{

/// Takes finished lines. Called by one thread at a time.
using log_sink = std::function<void(log_level, std::string_view line)>;

/// Tells the time of day.
using wall_clock = std::function<std::chrono::system_clock::time_point()>;

/// Writes to standard error through easylogging++, which was built without
/// file output. Thread safety: the sink may be shared by loggers.
[[nodiscard]] log_sink standard_error_sink();

/// The level with this name in the settings, or nothing.
/// Thread safety: no shared state.
[[nodiscard]] std::optional<log_level> parse_log_level(std::string_view text);

/// What a logger writes.
struct log_options
{
    /// Lines below it are neither written nor counted.
    log_level least = log_level::info;
    std::uint32_t lines_per_second = 50;
};

/// Writes one line of `key=value` pairs for each event.
/// Thread safety: all methods may be called concurrently.
class logger
{
public:
    /// Precondition: neither function is empty.
    explicit logger(
        log_options options,
        log_sink target = standard_error_sink(),
        wall_clock clock = std::chrono::system_clock::now);

    /// Writes a line, or counts it when the second's lines are used up.
    /// Precondition: `event` and the keys are constants of the program.
    void write(
        log_level level,
        std::string_view event,
        std::span<log_field const> fields);

    /// As above, with the fields in braces.
    void write(
        log_level level,
        std::string_view event,
        std::initializer_list<log_field> fields = {});

    /// Tells of suppressed lines when there are any from an earlier second.
    /// The runtime calls it with each tick; `write` does so, too.
    /// No precondition.
    void tell_suppressed();

private:
    void tell_suppressed_at(std::chrono::system_clock::time_point time);

    log_level least;
    log_sink sink;
    wall_clock now;
    std::mutex mutex;
    log_rate_limit limit;
};

} // namespace cairnhead
