#pragma once

#include <charconv>
#include <concepts>
#include <optional>
#include <string>
#include <string_view>

/// Text made of and read as `std::string_view`, which Debian's build of
/// Abseil does not take.
namespace cairnhead::standins
{

inline void append_text(std::string& text, std::string_view part)
{
    text.append(part);
}

template <std::integral Number>
void append_text(std::string& text, Number part)
{
    text.append(std::to_string(part));
}

/// Joins texts and whole numbers. Thread safety: no shared state.
template <typename... Parts>
[[nodiscard]] std::string concatenate(Parts const&... parts)
{
    std::string text;
    (append_text(text, parts), ...);
    return text;
}

/// Reads a whole decimal number; nothing for anything else or more.
/// Thread safety: no shared state.
template <std::unsigned_integral Number>
[[nodiscard]] std::optional<Number> parse_number(std::string_view text)
{
    Number value = 0;
    auto const* const end = text.data() + text.size();
    auto const [stop, error] = std::from_chars(text.data(), end, value);
    return error == std::errc{} && stop == end ? std::optional{value}
                                               : std::nullopt;
}

} // namespace cairnhead::standins
