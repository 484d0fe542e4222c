#include <http/http_url.hpp>

#include <algorithm>

namespace cairnhead
{

namespace
{

constexpr std::string_view scheme = "http://";

char to_lower(char letter)
{
    return letter >= 'A' && letter <= 'Z'
               ? static_cast<char>(letter - 'A' + 'a')
               : letter;
}

bool has_scheme(std::string_view url)
{
    auto const given = url.substr(0, scheme.size());
    return std::ranges::equal(given, scheme, {}, to_lower);
}

/// KJ takes "unix:PATH" and "*" for addresses too. Without this check a URL
/// could name a local socket, and the caller would talk to whoever has it.
bool is_authority(std::string_view text)
{
    constexpr std::string_view local_scheme = "unix";
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyz"
                                         "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                         "0123456789-._:[]";
    bool const is_local = text.starts_with(local_scheme) &&
                          text.find(':') != std::string_view::npos &&
                          text.find('.') == std::string_view::npos;
    return !text.empty() && !text.starts_with(':') && !is_local &&
           text.find_first_not_of(allowed) == std::string_view::npos;
}

/// A space or a line's end would end the request line early: whoever chose
/// the path would then write headers, and requests, of his own.
bool is_printable(std::string_view text)
{
    return std::ranges::all_of(
        text,
        [](char letter)
        {
            return letter > ' ' && letter <= '~';
        });
}

} // namespace

std::optional<http_url> parse_http_url(std::string_view url)
{
    if (!has_scheme(url) || !is_printable(url))
        return std::nullopt;
    url.remove_prefix(scheme.size());
    url = url.substr(0, url.find('#'));
    auto const end = std::min(url.find_first_of("/?"), url.size());
    auto const authority = url.substr(0, end);
    if (!is_authority(authority))
        return std::nullopt;
    std::string target(url.substr(end));
    if (!target.starts_with('/'))
        target.insert(0, 1, '/');
    return http_url{std::string(authority), std::move(target)};
}

} // namespace cairnhead
