#include <declaration/declaration_error.hpp>

#include <utility>

namespace cairnhead
{

std::string_view to_text(declaration_error_kind kind)
{
    switch (kind)
    {
        using enum declaration_error_kind;
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
    case bad_address:
        return "bad_address";
    case bad_port:
        return "bad_port";
    case bad_protocol:
        return "bad_protocol";
    case bad_selector:
        return "bad_selector";
    case bad_class:
        return "bad_class";
    case bad_preference:
        return "bad_preference";
    case bad_refusal:
        return "bad_refusal";
    case bad_limit:
        return "bad_limit";
    case bad_number:
        return "bad_number";
    case bad_name:
        return "bad_name";
    case wrong_organisation:
        return "wrong_organisation";
    case address_not_allotted:
        return "address_not_allotted";
    case upstream_not_allotted:
        return "upstream_not_allotted";
    case address_used_twice:
        return "address_used_twice";
    case upstream_used_twice:
        return "upstream_used_twice";
    case overlapping_allotment:
        return "overlapping_allotment";
    }
    return "unknown";
}

declaration_rejected::declaration_rejected(
    std::vector<declaration_error> errors)
    : found(std::move(errors))
{
}

std::span<declaration_error const> declaration_rejected::errors() const
{
    return this->found;
}

char const* declaration_rejected::what() const noexcept
{
    // Every text of `to_text` is a literal, so it ends with a zero.
    return to_text(this->found.front().kind).data();
}

} // namespace cairnhead
