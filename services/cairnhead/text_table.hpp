#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace cairnhead
{

/// A table of text with aligned columns. Thread safety: as a plain value.
class text_table
{
public:
    /// No precondition.
    explicit text_table(std::vector<std::string> headings);

    /// Precondition: as many cells as headings.
    void add_row(std::vector<std::string> cells);

    /// Writes headings and rows, two spaces between columns. No precondition.
    void write(std::ostream& out) const;

private:
    [[nodiscard]] std::vector<std::size_t> widths() const;

    /// The headings are the first row.
    std::vector<std::vector<std::string>> rows;
};

} // namespace cairnhead
