#include <observability/log_line.hpp>

#include <algorithm>
#include <cstdio>
#include <ctime>

namespace cairnhead
{

namespace
{

constexpr std::string_view cut_mark = "...";
constexpr char first_printable = ' ';
constexpr char last_printable = '~';
constexpr std::string_view hexadecimal_digits = "0123456789abcdef";

bool is_printable(char character)
{
    return character >= first_printable && character <= last_printable;
}

bool is_plain(char character)
{
    return is_printable(character) && character != ' ' && character != '"' &&
           character != '\\' && character != '=';
}

bool has_to_be_quoted(std::string_view value)
{
    return value.empty() || !std::ranges::all_of(value, is_plain);
}

void append_hexadecimal(char character, std::string& out)
{
    auto const byte = static_cast<unsigned char>(character);
    out += "\\x";
    out += hexadecimal_digits[byte >> 4U];
    out += hexadecimal_digits[byte & 0xfU];
}

void append_escaped(char character, std::string& out)
{
    switch (character)
    {
    case '"':
        out += "\\\"";
        return;
    case '\\':
        out += "\\\\";
        return;
    case '\n':
        out += "\\n";
        return;
    case '\r':
        out += "\\r";
        return;
    case '\t':
        out += "\\t";
        return;
    default:
        break;
    }
    if (is_printable(character))
        out += character;
    else
        append_hexadecimal(character, out);
}

void append_value(std::string_view value, std::string& out)
{
    auto const shown = value.substr(0, maximum_value_bytes);
    auto const is_quoted = has_to_be_quoted(shown);
    if (is_quoted)
        out += '"';
    for (char const character : shown)
        append_escaped(character, out);
    if (shown.size() < value.size())
        out += cut_mark;
    if (is_quoted)
        out += '"';
}

void append_field(log_field const& field, std::string& out)
{
    if (!out.empty())
        out += ' ';
    out += field.key;
    out += '=';
    append_value(field.value, out);
}

/// ISO 8601 in UTC with milliseconds.
std::string format_time(std::chrono::system_clock::time_point time)
{
    using std::chrono::floor;
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    auto const whole = floor<seconds>(time);
    auto const rest = floor<milliseconds>(time - whole);
    std::time_t const plain = std::chrono::system_clock::to_time_t(whole);
    std::tm parts{};
    gmtime_r(&plain, &parts);
    char text[sizeof("2026-01-01T00:00:00.000Z") + 16] = {};
    auto const length =
        std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(
        text + length, sizeof(text) - length, ".%03dZ",
        static_cast<int>(rest.count()));
    return text;
}

} // namespace

std::string_view to_text(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "unknown";
}

std::string format(log_line const& line)
{
    std::string out;
    append_field({"time", format_time(line.time)}, out);
    append_field({"level", to_text(line.level)}, out);
    append_field({"event", line.event}, out);
    for (auto const& field : line.fields)
        append_field(field, out);
    return out;
}

} // namespace cairnhead
