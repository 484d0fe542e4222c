#include "sample_packets.hpp"

#include <charconv>
#include <criterion/criterion.h>

namespace cairnhead::samples
{

namespace
{

std::uint16_t
sum_plainly(std::span<std::uint8_t const> bytes, std::uint32_t sum)
{
    for (std::size_t index = 0; index < bytes.size(); ++index)
        sum += index % 2 == 0 ? bytes[index] << 8 : bytes[index];
    while (sum > 0xffff)
        sum = (sum & 0xffff) + (sum >> 16);
    return static_cast<std::uint16_t>(~sum);
}

void put(std::span<std::uint8_t> out, std::uint16_t value)
{
    out[0] = static_cast<std::uint8_t>(value >> 8);
    out[1] = static_cast<std::uint8_t>(value);
}

} // namespace

byte_vector from_hex(std::string_view text)
{
    byte_vector bytes(text.size() / 2);
    for (std::size_t index = 0; index < bytes.size(); ++index)
    {
        auto const* const digits = text.data() + 2 * index;
        std::from_chars(digits, digits + 2, bytes[index], 16);
    }
    return bytes;
}

void fix_header_checksum(std::span<std::uint8_t> packet)
{
    auto const header = packet.first(20);
    put(header.subspan(10), 0);
    put(header.subspan(10), sum_plainly(header, 0));
}

void fix_checksums(byte_vector& packet)
{
    std::span<std::uint8_t> const whole(packet);
    auto const header = whole.first(20);
    auto const segment = whole.subspan(20);
    auto const field = segment.subspan(header[9] == 6 ? 16 : 6, 2);
    fix_header_checksum(packet);
    put(field, 0);
    std::uint32_t pseudo_header = header[9];
    pseudo_header += static_cast<std::uint32_t>(segment.size());
    for (std::size_t index = 12; index < 20; index += 2)
        pseudo_header += header[index] << 8 | header[index + 1];
    put(field, sum_plainly(segment, pseudo_header));
}

packet_view read_sound(std::span<std::uint8_t const> packet)
{
    auto const result = read_packet(packet);
    auto const* const view = std::get_if<packet_view>(&result);
    cr_assert(view != nullptr);
    return *view;
}

} // namespace cairnhead::samples
