#include <packet/byte_order.hpp>
#include <packet/checksum.hpp>

#include <algorithm>
#include <array>
#include <cstring>

namespace cairnhead
{

namespace
{

constexpr std::size_t word_size = sizeof(std::uint32_t);
constexpr std::size_t words_per_block = 4;
constexpr std::size_t block_size = word_size * words_per_block;
constexpr std::size_t pseudo_header_size = 12;
constexpr std::uint16_t all_ones = 0xffff;

checksum_sum load_word(std::uint8_t const* bytes)
{
    std::uint32_t word = 0;
    std::memcpy(&word, bytes, word_size);
    return word;
}

// RFC 1071 2(B): "the sum of 16-bit integers can be computed in either byte
// order", so whole native words are added and only the end result is stored.
std::uint16_t fold(checksum_sum sum)
{
    while (sum > all_ones)
        sum = (sum & all_ones) + (sum >> 16);
    return static_cast<std::uint16_t>(sum);
}

} // namespace

checksum_sum add_bytes(checksum_sum sum, std::span<std::uint8_t const> bytes)
{
    // Separate sums let the processor add several words at once.
    std::array<checksum_sum, words_per_block> sums{};
    while (bytes.size() >= block_size)
    {
        for (std::size_t index = 0; index < words_per_block; ++index)
            sums[index] += load_word(bytes.data() + index * word_size);
        bytes = bytes.subspan(block_size);
    }
    for (checksum_sum const part : sums)
        sum += part;
    while (bytes.size() >= word_size)
    {
        sum += load_word(bytes.data());
        bytes = bytes.subspan(word_size);
    }
    std::array<std::uint8_t, word_size> rest{};
    std::ranges::copy(bytes, rest.begin());
    return sum + load_word(rest.data());
}

checksum_sum sum_pseudo_header(
    address_pair const& addresses,
    transport_protocol protocol,
    std::size_t size)
{
    std::array<std::uint8_t, pseudo_header_size> header{};
    write_uint32(header, 0, addresses.source.value());
    write_uint32(header, 4, addresses.destination.value());
    header[9] = static_cast<std::uint8_t>(protocol);
    write_uint16(header, 10, static_cast<std::uint16_t>(size));
    return add_bytes(0, header);
}

bool is_valid_sum(checksum_sum sum)
{
    return fold(sum) == all_ones;
}

void write_checksum(
    std::span<std::uint8_t> out, std::size_t offset, checksum_sum sum)
{
    std::uint16_t const checksum = static_cast<std::uint16_t>(~fold(sum));
    std::memcpy(out.subspan(offset, sizeof(checksum)).data(), &checksum, 2);
}

} // namespace cairnhead
