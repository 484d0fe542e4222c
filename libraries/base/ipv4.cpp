#include <base/ipv4.hpp>

#include <arpa/inet.h>

namespace cairnhead
{

std::optional<ipv4_address> parse_ipv4(std::string_view text)
{
    in_addr parsed{};
    if (inet_pton(AF_INET, std::string(text).c_str(), &parsed) != 1)
        return std::nullopt;
    return ipv4_address(ntohl(parsed.s_addr));
}

std::string format_ipv4(ipv4_address address)
{
    in_addr const raw{htonl(address.value())};
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &raw, text, sizeof(text));
    return text;
}

} // namespace cairnhead
