#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Log lines as they are read back: `time=… level=… event=… key=value …`.
namespace cairnhead
{

/// One `key=value` of a line, unescaped.
struct record_field
{
    std::string key;
    std::string value;

    bool operator==(record_field const&) const = default;
};

/// One line of a VM's log.
struct log_record
{
    std::chrono::system_clock::time_point time;
    std::string level;
    std::string event;
    std::vector<record_field> fields;
    /// What stood before `time=`: log collectors put a machine's name there.
    std::string prefix;

    /// The value of a key; empty for none. Valid as long as the record. No
    /// precondition.
    [[nodiscard]] std::string_view value_of(std::string_view key) const;

    /// A value that is a whole number, if it is one. No precondition.
    [[nodiscard]] std::optional<std::uint64_t>
    number_of(std::string_view key) const;
};

/// What is wrong with a line.
enum class log_fault : std::uint8_t
{
    /// No `time=`: another program wrote it.
    not_a_log_line,
    bad_time,
    missing_level,
    missing_event,
    /// Text where `key=value` should stand.
    bad_field,
    bad_escape,
    /// A quoted value without its end; the line was cut.
    unterminated_value,
};

/// The fault in words. No precondition. Thread safety: no shared state.
[[nodiscard]] std::string_view to_text(log_fault fault);

/// A line that cannot be read.
struct malformed_line
{
    log_fault fault = log_fault::not_a_log_line;
    /// Where it was noticed, from 1.
    std::size_t column = 1;
};

/// Reads one line without its end. No precondition. Thread safety: no shared
/// state.
[[nodiscard]] std::variant<log_record, malformed_line>
parse_log_line(std::string_view line);

} // namespace cairnhead
