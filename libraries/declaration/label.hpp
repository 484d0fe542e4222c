#pragma once

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace cairnhead
{

/// Whether the character may stand in a label's key or value. Those that a
/// selector gives a meaning to may not, so that each label can be selected.
[[nodiscard]] constexpr bool is_label_character(char character)
{
    bool const is_letter = (character >= 'a' && character <= 'z') ||
                           (character >= 'A' && character <= 'Z');
    bool const is_digit = character >= '0' && character <= '9';
    return is_letter || is_digit || character == '-' || character == '_' ||
           character == '.' || character == '/';
}

/// Whether the text may be a label's key or value: 1 to 63 characters.
[[nodiscard]] constexpr bool is_label_text(std::string_view text)
{
    constexpr std::size_t maximum_label_bytes = 63;
    if (text.empty() || text.size() > maximum_label_bytes)
        return false;
    return std::ranges::all_of(text, is_label_character);
}

} // namespace cairnhead
