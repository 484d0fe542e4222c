#include <declaration/document_reader.hpp>

namespace cairnhead
{

yaml_value parse_declaration_yaml(std::string_view text)
{
    try
    {
        return parse_yaml(text);
    }
    catch (yaml_rejected const& failure)
    {
        declaration_errors errors;
        errors.add(
            to_kind<declaration_error>(failure.kind()), failure.place(),
            failure.subject());
        throw declaration_rejected(errors.take());
    }
}

void throw_if_any(declaration_errors& errors)
{
    if (errors.is_empty())
        return;
    throw declaration_rejected(errors.take());
}

} // namespace cairnhead
