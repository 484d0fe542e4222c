#pragma once

#include <settings/duration_text.hpp>
#include <settings/section_fields.hpp>
#include <settings/settings_error.hpp>
#include <yaml/yaml_reader.hpp>

#include <base/identifiers.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

/// Readers of single settings. A setting that is left out keeps its default.
/// Thread safety of all: none; errors are added to the caller's list.
namespace cairnhead
{

using settings_errors = error_list<settings_error>;
using settings_mapping = mapping_reader<settings_error>;

/// What a number may be, and how one outside is reported.
struct number_range
{
    std::uint64_t minimum = 0;
    std::uint64_t maximum = 0;
    settings_error_kind error = settings_error_kind::out_of_range;
};

/// Reads a scalar as a number. Reports `bad_number` or the range's error.
[[nodiscard]] std::optional<std::uint64_t> read_number(
    settings_mapping const& mapping,
    std::string_view key,
    number_range const& range,
    settings_errors& errors);

/// What a fraction may be.
struct fraction_range
{
    double minimum = 0;
    double maximum = 0;
};

/// Reads a scalar as a decimal fraction. Reports `bad_number` or
/// `out_of_range`.
[[nodiscard]] std::optional<double> read_fraction(
    settings_mapping const& mapping,
    std::string_view key,
    fraction_range const& range,
    settings_errors& errors);

/// Whether zero, which turns a listener off, is allowed for a port.
enum class port_rule : std::uint8_t
{
    required,
    may_be_off,
};

/// Sets the port if the key is there. Reports `bad_port`.
void read_port(
    settings_mapping const& mapping,
    std::string_view key,
    port_rule rule,
    std::uint16_t& target,
    settings_errors& errors);

/// What a duration may be.
struct duration_range
{
    duration minimum;
    duration maximum;
};

/// Reads a scalar as a duration. Reports what is wrong with it.
[[nodiscard]] std::optional<duration> read_duration(
    settings_mapping const& mapping,
    std::string_view key,
    duration_range const& range,
    settings_errors& errors);

/// Reads a scalar as a placement rule, `flows` or `answer_times`. Reports
/// `out_of_range` for any other word.
[[nodiscard]] std::optional<placement_rule> read_placement_rule(
    settings_mapping const& mapping,
    std::string_view key,
    settings_errors& errors);

/// Reads a scalar as an IPv4 address. Reports `bad_address`.
[[nodiscard]] std::optional<ipv4_address> read_address(
    yaml_value const& value, std::string_view subject, settings_errors& errors);

/// Fills the target from exactly as many hexadecimal digits as it holds.
/// Reports `bad_secret` without the value.
void read_secret(
    settings_mapping const& mapping,
    std::string_view key,
    std::span<std::uint8_t> target,
    settings_errors& errors);

/// Reads one field of a section into it.
template <typename Section>
class field_reader
{
public:
    /// Precondition: all three outlive the reader.
    field_reader(
        settings_mapping const& section_mapping,
        Section& section,
        settings_errors& reports)
        : mapping(section_mapping), target(section), errors(reports)
    {
    }

    void operator()(duration_field<Section> const& field) const
    {
        duration_range const range{field.minimum, field.maximum};
        std::optional<duration> const value =
            read_duration(this->mapping, field.name, range, this->errors);
        if (value.has_value())
            this->target.*field.member = *value;
    }

    void operator()(number_field<Section> const& field) const
    {
        number_range const range{field.minimum, field.maximum};
        std::optional<std::uint64_t> const value =
            read_number(this->mapping, field.name, range, this->errors);
        if (value.has_value())
            this->target.*field.member = static_cast<std::uint32_t>(*value);
    }

    void operator()(fraction_field<Section> const& field) const
    {
        fraction_range const range{field.minimum, field.maximum};
        std::optional<double> const value =
            read_fraction(this->mapping, field.name, range, this->errors);
        if (value.has_value())
            this->target.*field.member = *value;
    }

    void operator()(placement_rule_field<Section> const& field) const
    {
        std::optional<placement_rule> const value =
            read_placement_rule(this->mapping, field.name, this->errors);
        if (value.has_value())
            this->target.*field.member = *value;
    }

private:
    settings_mapping const& mapping;
    Section& target;
    settings_errors& errors;
};

/// The keys that a section's table names, in its order.
template <typename Section>
[[nodiscard]] auto section_keys()
{
    using rules = section_rules<Section>;
    std::array<std::string_view, rules::fields.size()> keys;
    std::ranges::transform(
        rules::fields, keys.begin(),
        [](section_field<Section> const& field)
        {
            return std::visit(
                [](auto const& known)
                {
                    return known.name;
                },
                field);
        });
    return keys;
}

/// Reports every pair of durations that does not stand in order.
template <typename Section>
void check_orders(
    settings_mapping const& mapping,
    Section const& section,
    settings_errors& errors)
{
    for (ordered_durations<Section> const& pair :
         section_rules<Section>::orders)
    {
        duration const lower = section.*pair.lower;
        duration const upper = section.*pair.upper;
        bool const may_be_equal = pair.relation == ordering::at_most;
        if (lower < upper || (may_be_equal && lower == upper))
            continue;
        errors.add(
            settings_error_kind::conflicting_values,
            mapping.place_of(pair.lower_name),
            mapping.path_of(pair.lower_name));
    }
}

/// Reads an optional section by its table.
template <typename Section>
void read_section(
    settings_mapping const& file,
    std::string_view name,
    Section& target,
    settings_errors& errors)
{
    yaml_value const* const value = file.find(name);
    if (value == nullptr)
        return;
    auto const keys = section_keys<Section>();
    settings_mapping const mapping(*value, name, keys, errors);
    field_reader<Section> const reader(mapping, target, errors);
    for (section_field<Section> const& field : section_rules<Section>::fields)
        std::visit(reader, field);
    check_orders(mapping, target, errors);
}

} // namespace cairnhead
