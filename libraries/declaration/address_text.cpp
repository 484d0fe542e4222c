#include <base/ipv4.hpp>
#include <declaration/address_text.hpp>
#include <yaml/yaml_reader.hpp>

#include <limits>

namespace cairnhead
{

namespace
{

constexpr std::uint8_t address_bits = 32;

/// The bits that tell the addresses of a range apart.
std::uint32_t host_mask(std::uint8_t prefix_length)
{
    constexpr std::uint64_t all_ones =
        std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(all_ones >> prefix_length);
}

std::optional<std::uint8_t> parse_prefix_length(std::string_view text)
{
    std::optional<std::uint64_t> const length = parse_decimal(text);
    if (!length.has_value() || *length > address_bits)
        return std::nullopt;
    return static_cast<std::uint8_t>(*length);
}

} // namespace

std::optional<address_range> parse_address_range(std::string_view text)
{
    std::size_t const slash = text.find('/');
    std::optional<ipv4_address> const first = parse_ipv4(text.substr(0, slash));
    std::optional<std::uint8_t> length = address_bits;
    if (slash != std::string_view::npos)
        length = parse_prefix_length(text.substr(slash + 1));
    if (!first.has_value() || !length.has_value())
        return std::nullopt;
    if ((first->value() & host_mask(*length)) != 0)
        return std::nullopt;
    return address_range{*first, *length};
}

std::variant<endpoint, declaration_error_kind>
parse_service_address(std::string_view text)
{
    std::size_t const colon = text.find(':');
    std::optional<ipv4_address> const address =
        parse_ipv4(text.substr(0, colon));
    if (!address.has_value())
        return declaration_error_kind::bad_address;
    if (colon == std::string_view::npos)
        return declaration_error_kind::bad_port;
    std::optional<std::uint64_t> const port =
        parse_decimal(text.substr(colon + 1));
    constexpr std::uint64_t highest_port =
        std::numeric_limits<std::uint16_t>::max();
    if (!port.has_value() || *port == 0 || *port > highest_port)
        return declaration_error_kind::bad_port;
    return endpoint{*address, static_cast<std::uint16_t>(*port)};
}

ipv4_address last_address(address_range const& range)
{
    return ipv4_address(range.first.value() | host_mask(range.prefix_length));
}

bool address_range::contains(ipv4_address address) const
{
    return address >= this->first && address <= last_address(*this);
}

} // namespace cairnhead
