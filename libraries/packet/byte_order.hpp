#pragma once

#include <cassert>
#include <cstddef>
#include <cstdint>
#include <span>

/// Fields in network byte order at any alignment. Private to this library.
namespace cairnhead
{

/// Precondition: two bytes stand at the offset. Thread safety: pure.
[[nodiscard]] inline std::uint16_t
read_uint16(std::span<std::uint8_t const> bytes, std::size_t offset)
{
    assert(offset + 2 <= bytes.size());
    return static_cast<std::uint16_t>(bytes[offset] << 8 | bytes[offset + 1]);
}

/// Precondition: four bytes stand at the offset. Thread safety: pure.
[[nodiscard]] inline std::uint32_t
read_uint32(std::span<std::uint8_t const> bytes, std::size_t offset)
{
    std::uint32_t const high = read_uint16(bytes, offset);
    return high << 16 | read_uint16(bytes, offset + 2);
}

/// Precondition: two bytes stand at the offset. Thread safety: writes only
/// the caller's bytes.
inline void write_uint16(
    std::span<std::uint8_t> out, std::size_t offset, std::uint16_t value)
{
    assert(offset + 2 <= out.size());
    out[offset] = static_cast<std::uint8_t>(value >> 8);
    out[offset + 1] = static_cast<std::uint8_t>(value);
}

/// Precondition: four bytes stand at the offset. Thread safety: writes only
/// the caller's bytes.
inline void write_uint32(
    std::span<std::uint8_t> out, std::size_t offset, std::uint32_t value)
{
    write_uint16(out, offset, static_cast<std::uint16_t>(value >> 16));
    write_uint16(out, offset + 2, static_cast<std::uint16_t>(value));
}

} // namespace cairnhead
