#include <settings/settings_error.hpp>

#include <utility>

namespace cairnhead
{

std::string_view to_text(settings_error_kind kind)
{
    switch (kind)
    {
        using enum settings_error_kind;
    case not_yaml:
        return "not_yaml";
    case too_large:
        return "too_large";
    case too_deep:
        return "too_deep";
    case alias_not_allowed:
        return "alias_not_allowed";
    case wrong_type:
        return "wrong_type";
    case unknown_key:
        return "unknown_key";
    case missing_key:
        return "missing_key";
    case duplicate_key:
        return "duplicate_key";
    case bad_name:
        return "bad_name";
    case bad_address:
        return "bad_address";
    case bad_port:
        return "bad_port";
    case bad_number:
        return "bad_number";
    case bad_duration:
        return "bad_duration";
    case unit_missing:
        return "unit_missing";
    case out_of_range:
        return "out_of_range";
    case conflicting_values:
        return "conflicting_values";
    case bad_secret:
        return "bad_secret";
    case wrong_key_count:
        return "wrong_key_count";
    case bad_url:
        return "bad_url";
    case bad_level:
        return "bad_level";
    }
    return "unknown";
}

settings_rejected::settings_rejected(std::vector<settings_error> errors)
    : found(std::move(errors))
{
}

std::span<settings_error const> settings_rejected::errors() const
{
    return this->found;
}

char const* settings_rejected::what() const noexcept
{
    // Every text of `to_text` is a literal, so it ends with a zero.
    return to_text(this->found.front().kind).data();
}

} // namespace cairnhead
