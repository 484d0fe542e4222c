#pragma once

#include <cstdint>
#include <fstream>
#include <iterator>
#include <random>
#include <string>
#include <string_view>

/// Texts for the tests of parsers.
namespace cairnhead
{

/// A change to a good document and the error that it must lead to.
template <typename Kind>
struct bad_document
{
    char const* good_part;
    char const* bad_part;
    Kind kind;
    std::uint32_t line;
    std::uint32_t column;
};

/// Precondition: the part stands in the text.
inline std::string replace_part(
    std::string text, std::string_view part, std::string_view replacement)
{
    return text.replace(text.find(part), part.size(), replacement);
}

/// Whether exactly this error stands in the list, by kind and place.
template <typename Errors, typename Kind>
bool has_error(
    Errors const& errors, Kind kind, std::uint32_t line, std::uint32_t column)
{
    for (auto const& error : errors)
    {
        bool const is_at_place = error.line == line && error.column == column;
        if (error.kind == kind && is_at_place)
            return true;
    }
    return false;
}

inline std::string read_example(std::string_view path)
{
    std::ifstream file(std::string(EXAMPLES_FOLDER "/") + std::string(path));
    return {std::istreambuf_iterator<char>(file), {}};
}

/// Changes one to four places of a text: bytes are replaced, removed, or a
/// part is copied elsewhere.
inline std::string mutate(std::string text, std::mt19937_64& random)
{
    constexpr std::string_view marks = "{}[]():,-!&*?|>'\"#%@`~ \n\t\\0a\xff";
    for (std::uint64_t left = 1 + random() % 4; left > 0; --left)
    {
        std::size_t const place = random() % (text.size() + 1);
        std::size_t const length = random() % 9;
        std::string const part = text.substr(random() % (text.size() + 1), 30);
        std::string const mark(1, marks[random() % marks.size()]);
        switch (random() % 3)
        {
        case 0:
            text.replace(place, 1, mark);
            break;
        case 1:
            text.erase(place, length);
            break;
        default:
            text.insert(place, part);
        }
    }
    return text;
}

/// Runs the parser over mutated texts. Any exception but the expected one
/// leaves this function and fails the test.
template <typename Rejected, typename Parse>
std::uint64_t
count_rejected_mutations(std::string const& text, Parse const& parse)
{
    constexpr std::uint64_t mutations = 20'000;
    constexpr std::uint64_t seed = 7;
    std::mt19937_64 random(seed);
    std::uint64_t rejected = 0;
    for (std::uint64_t round = 0; round < mutations; ++round)
    {
        try
        {
            parse(mutate(text, random));
        }
        catch (Rejected const& failure)
        {
            rejected += failure.errors().empty() ? 0 : 1;
        }
    }
    return rejected;
}

} // namespace cairnhead
