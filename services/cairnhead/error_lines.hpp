#pragma once

#include <ostream>
#include <span>
#include <string_view>

namespace cairnhead
{

/// Writes one line for each error in a document, `PLACE:LINE:COLUMN: KIND:
/// SUBJECT`. Precondition: the error has a kind, a line, a column and a
/// subject. Thread safety: no shared state.
template <typename Error>
void write_errors(
    std::ostream& out, std::string_view document, std::span<Error const> errors)
{
    for (Error const& error : errors)
    {
        out << document << ':' << error.line << ':' << error.column << ": "
            << to_text(error.kind);
        if (!error.subject.empty())
            out << ": " << error.subject;
        out << '\n';
    }
}

} // namespace cairnhead
