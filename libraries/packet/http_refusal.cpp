#include <packet/http_refusal.hpp>

#include <cassert>
#include <string_view>

namespace cairnhead
{

namespace
{

constexpr std::string_view before_number =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: ";
constexpr std::string_view after_number =
    "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
constexpr std::size_t number_width = 3;

static_assert(
    before_number.size() + number_width + after_number.size() ==
    http_refusal_size);

} // namespace

std::string make_http_refusal(std::chrono::seconds retry_after)
{
    auto const number = std::to_string(retry_after.count());
    assert(number.size() <= number_width);
    std::string text(before_number);
    // RFC 9112 5: optional white space goes before a field's value.
    text.append(number_width - number.size(), ' ');
    text += number;
    text += after_number;
    return text;
}

} // namespace cairnhead
