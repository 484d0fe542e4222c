#include <settings/duration_text.hpp>
#include <yaml/yaml_reader.hpp>

#include <array>

namespace cairnhead
{

namespace
{

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""min;
using std::chrono_literals::operator""h;

constexpr std::array<named_value<duration>, 4> units = {{
    {"ms", 1ms},
    {"s", 1s},
    {"min", 1min},
    {"h", 1h},
}};

} // namespace

std::variant<duration, settings_error_kind>
parse_duration(std::string_view text)
{
    std::size_t const digits =
        std::min(text.find_first_not_of("0123456789"), text.size());
    if (digits == 0)
        return settings_error_kind::bad_duration;
    if (digits == text.size())
        return settings_error_kind::unit_missing;
    std::optional<duration> const unit = find_named(units, text.substr(digits));
    std::optional<std::uint64_t> const count =
        parse_decimal(text.substr(0, digits));
    if (!unit.has_value() || !count.has_value())
        return settings_error_kind::bad_duration;
    auto const most =
        static_cast<std::uint64_t>(duration::max().count() / unit->count());
    if (*count > most)
        return settings_error_kind::out_of_range;
    return *unit * static_cast<duration::rep>(*count);
}

} // namespace cairnhead
