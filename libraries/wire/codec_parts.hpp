#pragma once

#include <wire/codec.hpp>

#include <cstdint>

/// What the codecs of control messages and of frames share.
namespace cairnhead::wire_parts
{

/// Reads an enumeration that counts up from zero to `last`. Throws
/// `malformed_datagram` for anything beyond: a later release may send it, and
/// a switch over the value would otherwise fall through.
/// Thread safety: no shared state.
template <typename Enumeration, typename Raw>
[[nodiscard]] Enumeration checked_enum(Raw raw, Enumeration last)
{
    auto const value = static_cast<std::uint16_t>(raw);
    if (value > static_cast<std::uint16_t>(last))
        throw malformed_datagram(malformed_reason::out_of_range);
    return static_cast<Enumeration>(value);
}

} // namespace cairnhead::wire_parts
