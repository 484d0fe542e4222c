#include <versions/document_name.hpp>

#include <declaration/declaration.hpp>
#include <registry/registry.hpp>

#include <algorithm>

namespace cairnhead
{

namespace
{

constexpr std::string_view accepted_suffix = "#accepted";

bool is_allowed_character(char character)
{
    constexpr char first_printable = '!';
    constexpr char last_printable = '~';
    if (character < first_printable || character > last_printable)
        return false;
    return character != '#' && character != '?' && character != '%';
}

} // namespace

bool is_registry_name(std::string_view name)
{
    return name == route_document_name || name == upstream_document_name ||
           name == evacuation_document_name;
}

bool is_document_name(std::string_view name)
{
    if (name.size() > maximum_document_name_bytes)
        return false;
    if (name == allotment_document_name || is_registry_name(name))
        return true;
    if (!name.starts_with(organisation_document_prefix))
        return false;
    auto const organisation = get_organisation(name);
    return !organisation.empty() &&
           std::ranges::all_of(organisation, is_allowed_character);
}

bool is_listed_name(std::string_view name)
{
    return is_document_name(get_document_name(name));
}

bool is_accepted_name(std::string_view name)
{
    return name.ends_with(accepted_suffix);
}

std::string make_accepted_name(std::string_view name)
{
    std::string accepted(name);
    accepted += accepted_suffix;
    return accepted;
}

std::string_view get_document_name(std::string_view name)
{
    if (is_accepted_name(name))
        name.remove_suffix(accepted_suffix.size());
    return name;
}

std::string_view get_organisation(std::string_view name)
{
    if (name == allotment_document_name || is_registry_name(name))
        return {};
    return name.substr(organisation_document_prefix.size());
}

} // namespace cairnhead
