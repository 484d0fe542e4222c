#include "network.hpp"
#include "text.hpp"

#include <algorithm>
#include <cerrno>
#include <system_error>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace cairnhead::standins
{
namespace
{

constexpr std::size_t largest_datagram = 65'535;
constexpr int socket_buffer_size = 4 * 1'024 * 1'024;
constexpr std::size_t destination_offset = 16;

sockaddr_in to_system(socket_address address)
{
    sockaddr_in system{};
    system.sin_family = AF_INET;
    system.sin_addr.s_addr = htonl(address.address);
    system.sin_port = htons(address.port);
    return system;
}

void set_option(int handle, int option, int value)
{
    setsockopt(handle, SOL_SOCKET, option, &value, sizeof(value));
}

} // namespace

std::uint32_t parse_address(std::string_view text)
{
    in_addr address{};
    if (inet_pton(AF_INET, std::string{text}.c_str(), &address) != 1)
    {
        throw address_error{concatenate("no IPv4 address: ", text)};
    }
    return ntohl(address.s_addr);
}

socket_address parse_socket_address(std::string_view text)
{
    auto const colon = text.find(':');
    auto const port = colon == text.npos
                          ? std::nullopt
                          : parse_number<std::uint16_t>(text.substr(colon + 1));
    if (!port)
    {
        throw address_error{concatenate("no address:port: ", text)};
    }
    return {.address = parse_address(text.substr(0, colon)), .port = *port};
}

std::string format_address(std::uint32_t address)
{
    return concatenate(
        address >> 24, ".", (address >> 16) & 0xff, ".", (address >> 8) & 0xff,
        ".", address & 0xff);
}

std::vector<std::string> split_list(std::string_view text)
{
    std::vector<std::string> items;
    while (!text.empty())
    {
        auto const size = std::min(text.find(','), text.size());
        if (size > 0)
        {
            items.emplace_back(text.substr(0, size));
        }
        text.remove_prefix(std::min(size + 1, text.size()));
    }
    return items;
}

std::optional<std::span<std::uint8_t const>>
read_gue(std::span<std::uint8_t const> datagram)
{
    if (datagram.size() < gue_header.size() + ipv4_header_size ||
        !std::ranges::equal(datagram.first(gue_header.size()), gue_header))
    {
        return std::nullopt;
    }
    return datagram.subspan(gue_header.size());
}

std::uint32_t inner_destination(std::span<std::uint8_t const> packet)
{
    std::uint32_t address = 0;
    for (auto const byte : packet.subspan(destination_offset, 4))
    {
        address = address << 8 | byte;
    }
    return address;
}

udp_socket::udp_socket(socket_address local)
    : handle(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)),
      buffer(largest_datagram)
{
    set_option(this->handle, SO_REUSEADDR, 1);
    set_option(this->handle, SO_RCVBUF, socket_buffer_size);
    set_option(this->handle, SO_SNDBUF, socket_buffer_size);
    auto const system = to_system(local);
    if (bind(
            this->handle, reinterpret_cast<sockaddr const*>(&system),
            sizeof(system)) != 0)
    {
        throw std::system_error{errno, std::generic_category(), "bind"};
    }
}

std::optional<datagram> udp_socket::receive()
{
    sockaddr_in source{};
    socklen_t source_size = sizeof(source);
    auto const size = recvfrom(
        this->handle, this->buffer.data(), this->buffer.size(), 0,
        reinterpret_cast<sockaddr*>(&source), &source_size);
    if (size < 0)
    {
        return std::nullopt;
    }
    return datagram{
        .source =
            {.address = ntohl(source.sin_addr.s_addr),
             .port = ntohs(source.sin_port)},
        .bytes = std::span{this->buffer}.first(static_cast<std::size_t>(size))};
}

bool udp_socket::send(
    socket_address destination, std::span<std::uint8_t const> bytes) const
{
    auto const system = to_system(destination);
    return sendto(
               this->handle, bytes.data(), bytes.size(), 0,
               reinterpret_cast<sockaddr const*>(&system), sizeof(system)) >= 0;
}

} // namespace cairnhead::standins
