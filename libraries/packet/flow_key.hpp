#pragma once

#include <packet/packet_view.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

/// The bytes by which VMs agree on a flow. Private to this library.
namespace cairnhead
{

/// Size of a keyed hash's key (SipHash-2-4).
inline constexpr std::size_t flow_hash_key_size = 16;

/// Protocol, addresses and ports.
using flow_tuple = std::array<std::uint8_t, 13>;

/// The same on every VM, whatever its byte order. Thread safety: pure.
[[nodiscard]] flow_tuple make_flow_tuple(packet_view const& packet);

/// SipHash-2-4 of the bytes, the same on every VM. Precondition: 16 key
/// bytes. Thread safety: pure.
[[nodiscard]] std::uint64_t hash_keyed(
    std::span<std::uint8_t const> bytes, std::span<std::uint8_t const> key);

} // namespace cairnhead
