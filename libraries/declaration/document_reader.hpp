#pragma once

#include <declaration/declaration_error.hpp>
#include <yaml/yaml_reader.hpp>

#include <string_view>

namespace cairnhead
{

using declaration_errors = error_list<declaration_error>;
using declaration_mapping = mapping_reader<declaration_error>;

/// Reads the text's tree; throws `declaration_rejected` when it has none.
/// Thread safety: no shared state.
[[nodiscard]] yaml_value parse_declaration_yaml(std::string_view text);

/// Throws `declaration_rejected` if there are errors. Precondition: the list
/// is not used again. Thread safety: none.
void throw_if_any(declaration_errors& errors);

} // namespace cairnhead
