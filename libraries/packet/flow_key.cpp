#include <packet/byte_order.hpp>
#include <packet/flow_key.hpp>

#include <cassert>
#include <sodium/crypto_shorthash.h>

namespace cairnhead
{

static_assert(flow_hash_key_size == crypto_shorthash_KEYBYTES);

flow_tuple make_flow_tuple(packet_view const& packet)
{
    flow_tuple tuple{};
    tuple[0] = static_cast<std::uint8_t>(packet.destination.protocol);
    write_uint32(tuple, 1, packet.source.address.value());
    write_uint32(tuple, 5, packet.destination.address.value());
    write_uint16(tuple, 9, packet.source.port);
    write_uint16(tuple, 11, packet.destination.port);
    return tuple;
}

std::uint64_t hash_keyed(
    std::span<std::uint8_t const> bytes, std::span<std::uint8_t const> key)
{
    assert(key.size() == flow_hash_key_size);
    std::array<std::uint8_t, crypto_shorthash_BYTES> hash{};
    crypto_shorthash(hash.data(), bytes.data(), bytes.size(), key.data());
    // SipHash defines its result as a little-endian number.
    std::uint64_t value = 0;
    for (std::size_t index = hash.size(); index > 0; --index)
        value = value << 8 | hash[index - 1];
    return value;
}

flow_id hash_flow(packet_view const& packet, std::span<std::uint8_t const> key)
{
    return flow_id(hash_keyed(make_flow_tuple(packet), key));
}

} // namespace cairnhead
