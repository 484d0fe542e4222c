#include <yaml/yaml_error.hpp>

#include <utility>

namespace cairnhead
{

yaml_rejected::yaml_rejected(
    yaml_error_kind kind, document_place place, std::string subject)
    : reason(kind), where(place), concerned(std::move(subject))
{
}

yaml_error_kind yaml_rejected::kind() const
{
    return this->reason;
}

document_place yaml_rejected::place() const
{
    return this->where;
}

std::string const& yaml_rejected::subject() const
{
    return this->concerned;
}

char const* yaml_rejected::what() const noexcept
{
    return "text is not a usable YAML document";
}

} // namespace cairnhead
