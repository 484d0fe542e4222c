#pragma once

#include <cstdint>
#include <optional>
#include <string>

/// Packets of callers and hosts, as PROTOCOL.md gives their form.
namespace review
{

namespace flag
{
constexpr std::uint8_t syn = 2;
constexpr std::uint8_t rst = 8;
constexpr std::uint8_t fin = 16;
constexpr std::uint8_t ack = 128;
} // namespace flag

struct packet
{
    std::uint32_t echo = 0;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint8_t flags = 0;
    std::uint32_t source = 0;
    std::uint16_t source_port = 0;
    std::uint32_t destination = 0;
    std::uint16_t destination_port = 0;
    std::string data;
    /// The keyed sum is right, or zero as in a reset of the system.
    bool is_genuine = true;
    bool has_sum = true;

    [[nodiscard]] bool has(std::uint8_t wanted) const
    {
        return (this->flags & wanted) != 0;
    }
};

std::string write_packet(packet const& wanted);
std::optional<packet> read_packet(std::string const& bytes);

} // namespace review
