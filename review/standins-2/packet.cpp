#include "packet.hpp"

namespace review
{

namespace
{

constexpr std::size_t header_bytes = 31;
constexpr std::size_t sum_offset = 27;
constexpr std::uint32_t sum_key = 0x5eed1234;

void put(std::string& out, std::uint32_t value, int bytes)
{
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
        out += static_cast<char>((value >> shift) & 0xff);
}

std::uint32_t get(std::string const& in, std::size_t offset, int bytes)
{
    std::uint32_t value = 0;
    for (int index = 0; index < bytes; ++index)
        value = (value << 8) | static_cast<std::uint8_t>(in[offset + index]);
    return value;
}

/// Over all fields but the echo and the sum itself.
std::uint32_t sum_of(std::string const& bytes)
{
    std::uint32_t sum = 2166136261U ^ sum_key;
    for (std::size_t index = 4; index < bytes.size(); ++index)
    {
        if (index >= sum_offset && index < header_bytes)
            continue;
        sum = (sum ^ static_cast<std::uint8_t>(bytes[index])) * 16777619U;
    }
    return sum == 0 ? 1 : sum;
}

} // namespace

std::string write_packet(packet const& wanted)
{
    std::string out;
    put(out, wanted.echo, 4);
    put(out, wanted.sequence, 4);
    put(out, wanted.acknowledgement, 4);
    put(out, wanted.flags, 1);
    put(out, wanted.source, 4);
    put(out, wanted.destination_port, 2);
    put(out, wanted.source_port, 2);
    put(out, wanted.destination, 4);
    put(out, static_cast<std::uint32_t>(wanted.data.size()), 2);
    put(out, 0, 4);
    out += wanted.data;
    std::string sum;
    put(sum, sum_of(out), 4);
    return out.replace(sum_offset, 4, sum);
}

std::optional<packet> read_packet(std::string const& bytes)
{
    if (bytes.size() < header_bytes ||
        get(bytes, 25, 2) != bytes.size() - header_bytes)
        return std::nullopt;
    packet read;
    read.echo = get(bytes, 0, 4);
    read.sequence = get(bytes, 4, 4);
    read.acknowledgement = get(bytes, 8, 4);
    read.flags = static_cast<std::uint8_t>(bytes[12]);
    read.source = get(bytes, 13, 4);
    read.destination_port = static_cast<std::uint16_t>(get(bytes, 17, 2));
    read.source_port = static_cast<std::uint16_t>(get(bytes, 19, 2));
    read.destination = get(bytes, 21, 4);
    read.data = bytes.substr(header_bytes);
    std::uint32_t const sum = get(bytes, sum_offset, 4);
    read.has_sum = sum != 0;
    read.is_genuine = sum == sum_of(bytes);
    return read;
}

} // namespace review
