#pragma once

#include <observability/line_ring.hpp>
#include <observability/log_line.hpp>
#include <observability/log_rate_limit.hpp>

#include <absl/container/flat_hash_map.h>
#include <functional>
#include <initializer_list>
#include <mutex>
#include <optional>

namespace cairnhead
{

/// Tells the time of day.
using wall_clock = std::function<std::chrono::system_clock::time_point()>;

/// The level with this name in the settings, or nothing.
/// Thread safety: no shared state.
[[nodiscard]] std::optional<log_level> parse_log_level(std::string_view text);

/// What a logger writes.
struct log_options
{
    /// Lines below it are neither written nor counted.
    log_level least = log_level::info;
    /// Of each event: a flood of one hides no other.
    std::uint32_t lines_per_second = 50;
    /// Lines that wait for a slow reader: some seconds of a busy VM.
    std::size_t waiting_bytes = std::size_t{256} * 1024;
};

/// Writes one line of `key=value` pairs for each event, to standard output by
/// way of easylogging++. Never waits for the reader: lines wait in a ring, and
/// those that find no room are counted by their event.
/// Thread safety: all methods may be called concurrently.
class logger
{
public:
    /// Precondition: neither function is empty.
    explicit logger(
        log_options options,
        line_writer target = write_standard_output,
        wall_clock clock = std::chrono::system_clock::now);

    /// Writes a line, or counts it when its event's lines of the second are
    /// used up or the reader is slow or gone. Warnings and errors are given to
    /// the reader at once. Precondition: `event` and the keys are constants of
    /// the program.
    void write(
        log_level level,
        std::string_view event,
        std::span<log_field const> fields);

    /// As above, with the fields in braces.
    void write(
        log_level level,
        std::string_view event,
        std::initializer_list<log_field> fields = {});

    /// Gives waiting lines to the reader, as far as it takes them, and tells of
    /// lines that were left out in an earlier second. The runtime calls it with
    /// each tick. No precondition.
    void flush();

    /// Lines that were left out since the start, for whatever reason. No
    /// precondition.
    [[nodiscard]] std::uint64_t lines_left_out() const;

private:
    struct event_budget
    {
        log_rate_limit limit;
        /// Left out since the last line that told of it: beyond the limit, and
        /// without room.
        std::uint64_t over_limit = 0;
        std::uint64_t lost = 0;
    };

    event_budget& budget_of(std::string_view event);
    void tell_left_out(std::chrono::system_clock::time_point time);
    /// Whether there was room for the line.
    bool put(log_line const& line);
    void drain();

    log_options chosen;
    line_writer writer;
    wall_clock now;
    mutable std::mutex mutex;
    line_ring waiting;
    bool is_reader_gone = false;
    std::uint64_t left_out = 0;
    /// By the event's text, which is a constant.
    absl::flat_hash_map<std::string_view, event_budget> budgets;
};

} // namespace cairnhead
