#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

/// UDP on the loopback interface, and the GUE header that the tests expect.
namespace cairnhead::standins
{

/// Text that is no address, prefix or `address:port`.
struct address_error : std::invalid_argument
{
    using std::invalid_argument::invalid_argument;
};

/// An IPv4 address in host byte order, and a port.
struct socket_address
{
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    friend bool
    operator==(socket_address const&, socket_address const&) = default;
};

/// Reads a dotted quad. Throws `address_error`.
[[nodiscard]] std::uint32_t parse_address(std::string_view text);

/// Reads `address:port`. Throws `address_error`.
[[nodiscard]] socket_address parse_socket_address(std::string_view text);

[[nodiscard]] std::string format_address(std::uint32_t address);

/// Reads a comma list and drops empty items.
[[nodiscard]] std::vector<std::string> split_list(std::string_view text);

/// GUE variant 0: no flags, no options, a data message that holds IPv4.
inline constexpr std::array<std::uint8_t, 4> gue_header{0, 4, 0, 0};

inline constexpr std::size_t ipv4_header_size = 20;

/// The IPv4 packet inside a GUE datagram; nothing for anything else.
[[nodiscard]] std::optional<std::span<std::uint8_t const>>
read_gue(std::span<std::uint8_t const> datagram);

/// The destination of an IPv4 packet. Precondition: a whole header.
[[nodiscard]] std::uint32_t
inner_destination(std::span<std::uint8_t const> packet);

/// A received datagram. `bytes` views the socket's buffer until the next one.
struct datagram
{
    socket_address source;
    std::span<std::uint8_t const> bytes;
};

/// A bound UDP socket. Thread safety: one thread at a time.
class udp_socket
{
public:
    /// Throws `std::system_error` if the address cannot be bound.
    explicit udp_socket(socket_address local);

    /// Takes one datagram if there is one; never blocks.
    [[nodiscard]] std::optional<datagram> receive();

    /// Sends without blocking. A full buffer loses the datagram, as a real
    /// network would; false then.
    bool
    send(socket_address destination, std::span<std::uint8_t const> bytes) const;

    [[nodiscard]] int descriptor() const
    {
        return this->handle;
    }

private:
    int handle;
    std::vector<std::uint8_t> buffer;
};

} // namespace cairnhead::standins
