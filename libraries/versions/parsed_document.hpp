#pragma once

#include <declaration/declaration.hpp>

#include <optional>
#include <string_view>
#include <variant>

namespace cairnhead
{

/// A parsed document, or the first error that makes its text unusable.
using parsed_document =
    std::variant<declaration_error, allotment, organisation_document>;

/// Parses an allotment or an organisation's document. Never throws for an
/// invalid text. Precondition: `is_document_name(name)`, and not the name of a
/// registry document. Thread safety: no shared state.
[[nodiscard]] parsed_document
parse_document(std::string_view name, std::string_view text);

/// The first reason why the document may not be used under this allotment;
/// nothing if it may. No precondition. Thread safety: no shared state.
[[nodiscard]] std::optional<declaration_error>
find_error(parsed_document const& parsed, allotment const& allotted);

/// Restricts an accepted document to an allotment that has changed since:
/// leaves out services and upstreams whose addresses were taken away; the rest
/// stays in force. Rejecting the whole document would cut every flow of the
/// organisation because one address moved. Returns nothing if the organisation
/// has no allotment any more, or if the rest cannot be used. No precondition.
/// Thread safety: no shared state.
[[nodiscard]] std::optional<organisation_document>
restrict_to_allotment(parsed_document const& parsed, allotment const& allotted);

} // namespace cairnhead
