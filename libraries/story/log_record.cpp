#include <story/log_record.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/time/time.h>
#include <algorithm>

namespace cairnhead
{

namespace
{

constexpr std::string_view time_key = "time=";
constexpr std::size_t hexadecimal_length = 2;

/// Reads a line from left to right. Throws `malformed_line`.
class line_reader
{
public:
    line_reader(std::string_view whole, std::size_t begin)
        : line(whole), at(begin)
    {
    }

    [[nodiscard]] bool is_at_end() const
    {
        return this->at >= this->line.size();
    }

    [[nodiscard]] std::size_t column() const
    {
        return this->at + 1;
    }

    record_field read_field()
    {
        std::size_t const equals = this->line.find('=', this->at);
        std::size_t const space = this->line.find(' ', this->at);
        bool const is_field = equals != std::string_view::npos &&
                              equals > this->at && equals < space;
        if (!is_field)
            throw malformed_line{log_fault::bad_field, this->column()};
        record_field field;
        field.key = this->line.substr(this->at, equals - this->at);
        this->at = equals + 1;
        field.value = this->read_value();
        if (!this->is_at_end() && this->line[this->at] != ' ')
            throw malformed_line{log_fault::bad_field, this->column()};
        while (!this->is_at_end() && this->line[this->at] == ' ')
            ++this->at;
        return field;
    }

private:
    std::string read_value()
    {
        bool const is_quoted =
            !this->is_at_end() && this->line[this->at] == '"';
        if (is_quoted)
            return this->read_quoted();
        std::size_t const space = this->line.find(' ', this->at);
        std::size_t const end = std::min(space, this->line.size());
        std::string value(this->line.substr(this->at, end - this->at));
        this->at = end;
        return value;
    }

    std::string read_quoted()
    {
        std::size_t const begin = this->column();
        std::string value;
        for (++this->at; !this->is_at_end(); ++this->at)
        {
            char const character = this->line[this->at];
            if (character == '"')
            {
                ++this->at;
                return value;
            }
            value += character == '\\' ? this->read_escaped() : character;
        }
        throw malformed_line{log_fault::unterminated_value, begin};
    }

    /// Reads what follows a backslash, and stays on its last character.
    char read_escaped()
    {
        malformed_line const fault{log_fault::bad_escape, this->column()};
        ++this->at;
        if (this->is_at_end())
            throw fault;
        switch (this->line[this->at])
        {
        case '"':
        case '\\':
            return this->line[this->at];
        case 'n':
            return '\n';
        case 'r':
            return '\r';
        case 't':
            return '\t';
        case 'x':
            break;
        default:
            throw fault;
        }
        auto const digits = this->line.substr(this->at + 1, hexadecimal_length);
        std::uint32_t byte = 0;
        bool const is_byte =
            digits.size() == hexadecimal_length &&
            std::ranges::all_of(digits, absl::ascii_isxdigit) &&
            absl::SimpleHexAtoi({digits.data(), digits.size()}, &byte);
        if (!is_byte)
            throw fault;
        this->at += hexadecimal_length;
        return static_cast<char>(byte);
    }

    std::string_view line;
    std::size_t at;
};

/// Where `time=` begins a word, if anywhere.
std::optional<std::size_t> find_begin(std::string_view line)
{
    std::size_t at = line.find(time_key);
    while (at != std::string_view::npos && at > 0 && line[at - 1] != ' ')
        at = line.find(time_key, at + 1);
    if (at == std::string_view::npos)
        return std::nullopt;
    return at;
}

std::chrono::system_clock::time_point
read_time(std::string_view text, std::size_t column)
{
    absl::Time time;
    std::string error;
    bool const is_time = absl::ParseTime(
        absl::RFC3339_full, {text.data(), text.size()}, &time, &error);
    if (!is_time)
        throw malformed_line{log_fault::bad_time, column};
    return absl::ToChronoTime(time);
}

log_record read_record(std::string_view line)
{
    auto const begin = find_begin(line);
    if (!begin)
        throw malformed_line{log_fault::not_a_log_line, 1};
    line_reader reader(line, *begin);
    log_record record;
    record.prefix = line.substr(0, *begin);
    absl::StripAsciiWhitespace(&record.prefix);
    std::size_t const time_column = reader.column();
    record.time = read_time(reader.read_field().value, time_column);
    while (!reader.is_at_end())
    {
        record_field field = reader.read_field();
        if (field.key == "level")
            record.level = std::move(field.value);
        else if (field.key == "event")
            record.event = std::move(field.value);
        else
            record.fields.push_back(std::move(field));
    }
    if (record.level.empty())
        throw malformed_line{log_fault::missing_level, reader.column()};
    if (record.event.empty())
        throw malformed_line{log_fault::missing_event, reader.column()};
    return record;
}

} // namespace

std::string_view log_record::value_of(std::string_view key) const
{
    auto const found = std::ranges::find(this->fields, key, &record_field::key);
    return found == this->fields.end() ? std::string_view() : found->value;
}

std::optional<std::uint64_t> log_record::number_of(std::string_view key) const
{
    std::string_view const text = this->value_of(key);
    std::uint64_t number = 0;
    if (!absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &number))
        return std::nullopt;
    return number;
}

std::string_view to_text(log_fault fault)
{
    switch (fault)
    {
    case log_fault::not_a_log_line:
        return "not a line of cairnhead's log";
    case log_fault::bad_time:
        return "not a time";
    case log_fault::missing_level:
        return "no level";
    case log_fault::missing_event:
        return "no event";
    case log_fault::bad_field:
        return "not key=value";
    case log_fault::bad_escape:
        return "an unknown escape";
    case log_fault::unterminated_value:
        return "a quoted value without its end";
    }
    return "unknown";
}

std::variant<log_record, malformed_line> parse_log_line(std::string_view line)
{
    try
    {
        return read_record(line);
    }
    catch (malformed_line const& fault)
    {
        return fault;
    }
}

} // namespace cairnhead
