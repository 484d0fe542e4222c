#include <runtime/sockaddr.hpp>

#include <arpa/inet.h>

namespace cairnhead
{

sockaddr_in to_sockaddr(socket_address address)
{
    sockaddr_in converted{};
    converted.sin_family = AF_INET;
    converted.sin_port = htons(address.port);
    converted.sin_addr.s_addr = htonl(address.address.value());
    return converted;
}

socket_address from_sockaddr(sockaddr_in const& address)
{
    socket_address converted;
    converted.address = ipv4_address(ntohl(address.sin_addr.s_addr));
    converted.port = ntohs(address.sin_port);
    return converted;
}

} // namespace cairnhead
