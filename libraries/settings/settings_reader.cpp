#include <base/ipv4.hpp>
#include <settings/settings_reader.hpp>

#include <absl/strings/numbers.h>
#include <limits>
#include <sodium/utils.h>
#include <vector>

namespace cairnhead
{

std::optional<std::uint64_t> read_number(
    settings_mapping const& mapping,
    std::string_view key,
    number_range const& range,
    settings_errors& errors)
{
    std::string const* const text = mapping.find_scalar(key);
    if (text == nullptr)
        return std::nullopt;
    std::optional<std::uint64_t> const number = parse_decimal(*text);
    bool const is_in_range = number.has_value() && *number >= range.minimum &&
                             *number <= range.maximum;
    if (is_in_range)
        return number;
    settings_error_kind const error =
        number.has_value() ? range.error : settings_error_kind::bad_number;
    errors.add(error, mapping.place_of(key), mapping.path_of(key));
    return std::nullopt;
}

std::optional<double> read_fraction(
    settings_mapping const& mapping,
    std::string_view key,
    fraction_range const& range,
    settings_errors& errors)
{
    std::string const* const text = mapping.find_scalar(key);
    if (text == nullptr)
        return std::nullopt;
    double number = 0;
    bool const is_number =
        absl::SimpleAtod({text->data(), text->size()}, &number);
    // Comparisons with what is no number are all false.
    if (is_number && number >= range.minimum && number <= range.maximum)
        return number;
    errors.add(
        is_number ? settings_error_kind::out_of_range
                  : settings_error_kind::bad_number,
        mapping.place_of(key), mapping.path_of(key));
    return std::nullopt;
}

void read_port(
    settings_mapping const& mapping,
    std::string_view key,
    port_rule rule,
    std::uint16_t& target,
    settings_errors& errors)
{
    number_range const range{
        rule == port_rule::may_be_off ? 0U : 1U,
        std::numeric_limits<std::uint16_t>::max(),
        settings_error_kind::bad_port};
    std::optional<std::uint64_t> const port =
        read_number(mapping, key, range, errors);
    if (port.has_value())
        target = static_cast<std::uint16_t>(*port);
}

std::optional<duration> read_duration(
    settings_mapping const& mapping,
    std::string_view key,
    duration_range const& range,
    settings_errors& errors)
{
    std::string const* const text = mapping.find_scalar(key);
    if (text == nullptr)
        return std::nullopt;
    auto const parsed = parse_duration(*text);
    auto error = settings_error_kind::out_of_range;
    if (auto const* const read = std::get_if<duration>(&parsed))
    {
        if (*read >= range.minimum && *read <= range.maximum)
            return *read;
    }
    else
    {
        error = std::get<settings_error_kind>(parsed);
    }
    errors.add(error, mapping.place_of(key), mapping.path_of(key));
    return std::nullopt;
}

std::optional<placement_rule> read_placement_rule(
    settings_mapping const& mapping,
    std::string_view key,
    settings_errors& errors)
{
    std::string const* const text = mapping.find_scalar(key);
    if (text == nullptr)
        return std::nullopt;
    if (*text == "flows")
        return placement_rule::flows;
    if (*text == "answer_times")
        return placement_rule::answer_times;
    errors.add(
        settings_error_kind::out_of_range, mapping.place_of(key),
        mapping.path_of(key));
    return std::nullopt;
}

std::optional<ipv4_address> read_address(
    yaml_value const& value, std::string_view subject, settings_errors& errors)
{
    std::string const* const text = read_scalar(value, subject, errors);
    if (text == nullptr)
        return std::nullopt;
    std::optional<ipv4_address> const address = parse_ipv4(*text);
    if (!address.has_value())
        errors.add(settings_error_kind::bad_address, value.place, subject);
    return address;
}

void read_secret(
    settings_mapping const& mapping,
    std::string_view key,
    std::span<std::uint8_t> target,
    settings_errors& errors)
{
    std::string const* const text = mapping.require_scalar(key);
    if (text == nullptr)
        return;
    std::size_t written = 0;
    char const* stopped = nullptr;
    int const result = sodium_hex2bin(
        target.data(), target.size(), text->data(), text->size(), nullptr,
        &written, &stopped);
    bool const is_whole =
        written == target.size() && stopped == text->data() + text->size();
    if (result == 0 && is_whole)
        return;
    errors.add(
        settings_error_kind::bad_secret, mapping.place_of(key),
        mapping.path_of(key));
}

} // namespace cairnhead
