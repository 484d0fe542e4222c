#include <placement/rendezvous.hpp>

#include <base/hash.hpp>

#include <algorithm>
#include <array>
#include <bit>
#include <limits>

namespace cairnhead
{

namespace
{

/// Logarithms are fixed-point numbers with 32 fractional bits.
constexpr unsigned fraction_bits = 32;
/// The table divides each octave into 2^8 parts.
constexpr unsigned index_bits = 8;
constexpr std::size_t parts = std::size_t{1} << index_bits;
/// Bits of the mantissa that give the offset within a part, for interpolation.
constexpr unsigned interpolation_bits = 24;
/// Fixed-point scale of 1 / slots. A logarithm has at most 38 bits, so that the
/// product still fits 64 bits.
constexpr std::uint64_t weight_scale = std::uint64_t{1} << 24U;

/// Returns the binary logarithm of 1 + part / 256, computed bit by bit through
/// squaring. For `parts` itself the result is exactly one.
constexpr std::uint64_t logarithm_of_part(std::size_t part)
{
    constexpr unsigned point = 31;
    if (part == parts)
    {
        return std::uint64_t{1} << fraction_bits;
    }
    auto value = (std::uint64_t{parts + part} << point) / parts;
    std::uint64_t result = 0;
    for (unsigned bit = 0; bit < fraction_bits; ++bit)
    {
        value = (value * value) >> point;
        auto const carry = value >> (point + 1);
        value >>= carry;
        result = (result << 1U) | carry;
    }
    return result;
}

constexpr std::array<std::uint64_t, parts + 1> make_logarithms()
{
    std::array<std::uint64_t, parts + 1> result{};
    for (std::size_t part = 0; part <= parts; ++part)
    {
        result.at(part) = logarithm_of_part(part);
    }
    return result;
}

constexpr auto logarithms = make_logarithms();

/// Returns 64 minus the binary logarithm of `value`: exponentially distributed
/// when the value is uniform.
std::uint64_t negative_logarithm(std::uint64_t value)
{
    auto const positive = std::max(value, std::uint64_t{1});
    auto const zeros = static_cast<unsigned>(std::countl_zero(positive));
    // Drop the leading one; what follows is the part, then the offset within
    // it.
    auto const mantissa = (positive << zeros) << 1U;
    auto const part = static_cast<std::size_t>(mantissa >> (64U - index_bits));
    auto const offset = (mantissa << index_bits) >> (64U - interpolation_bits);
    auto const low = logarithms[part];
    auto const step = logarithms[part + 1] - low;
    auto const fraction = low + ((step * offset) >> interpolation_bits);
    auto const whole = std::uint64_t{zeros + 1} << fraction_bits;
    return whole - fraction;
}

} // namespace

weighted_upstream::weighted_upstream(upstream_id upstream, std::uint32_t slots)
    : id(upstream),
      inverse_slots(std::max(
          weight_scale / std::max(slots, std::uint32_t{1}), std::uint64_t{1}))
{
}

std::uint64_t rendezvous_rank(flow_id flow, weighted_upstream const& candidate)
{
    auto const hash = hash_pair(flow.value(), candidate.id.value());
    return negative_logarithm(hash) * candidate.inverse_slots;
}

std::optional<upstream_id>
first_choice(flow_id flow, std::span<weighted_upstream const> candidates)
{
    std::optional<upstream_id> result;
    auto lowest = std::numeric_limits<std::uint64_t>::max();
    for (auto const& candidate : candidates)
    {
        auto const rank = rendezvous_rank(flow, candidate);
        if (result.has_value() && rank >= lowest)
        {
            continue;
        }
        lowest = rank;
        result = candidate.id;
    }
    return result;
}

} // namespace cairnhead
