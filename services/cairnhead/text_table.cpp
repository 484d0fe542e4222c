#include "text_table.hpp"

#include <algorithm>
#include <ostream>
#include <utility>

namespace cairnhead
{

text_table::text_table(std::vector<std::string> headings)
    : rows{std::move(headings)}
{
}

void text_table::add_row(std::vector<std::string> cells)
{
    this->rows.push_back(std::move(cells));
}

void text_table::write(std::ostream& out) const
{
    auto const column_widths = this->widths();
    for (auto const& row : this->rows)
    {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column)
        {
            std::string const& cell = row[column];
            std::size_t const gap = column_widths[column] - cell.size() + 2;
            line += cell + std::string(gap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << '\n';
    }
}

std::vector<std::size_t> text_table::widths() const
{
    std::vector<std::size_t> widest(this->rows.front().size());
    for (auto const& row : this->rows)
    {
        for (std::size_t column = 0; column < row.size(); ++column)
            widest[column] = std::max(widest[column], row[column].size());
    }
    return widest;
}

} // namespace cairnhead
