#include "flow_text.hpp"

#include "usage_error.hpp"

#include <base/ipv4.hpp>

#include <charconv>
#include <optional>
#include <string>

namespace cairnhead
{

namespace
{

std::optional<std::uint16_t> parse_port(std::string_view text)
{
    std::uint16_t port = 0;
    char const* const end = text.data() + text.size();
    auto const [stopped, failure] = std::from_chars(text.data(), end, port);
    if (failure != std::errc() || stopped != end || port == 0)
        return std::nullopt;
    return port;
}

std::optional<socket_address> try_parse_socket_address(std::string_view text)
{
    std::size_t const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto const address = parse_ipv4(text.substr(0, colon));
    auto const port = parse_port(text.substr(colon + 1));
    if (!address.has_value() || !port.has_value())
        return std::nullopt;
    return socket_address{*address, *port};
}

std::optional<transport_protocol> parse_protocol(std::string_view text)
{
    if (text == "tcp")
        return transport_protocol::tcp;
    if (text == "udp")
        return transport_protocol::udp;
    return std::nullopt;
}

std::optional<flow_endpoints> try_parse_flow(std::string_view text)
{
    std::size_t const colon = text.find(':');
    std::size_t const dash = text.find('-');
    if (colon == std::string_view::npos || dash == std::string_view::npos ||
        dash < colon)
        return std::nullopt;
    auto const protocol = parse_protocol(text.substr(0, colon));
    auto const source =
        try_parse_socket_address(text.substr(colon + 1, dash - colon - 1));
    auto const destination = try_parse_socket_address(text.substr(dash + 1));
    if (!protocol || !source || !destination)
        return std::nullopt;
    return flow_endpoints{
        {source->address, source->port, *protocol},
        {destination->address, destination->port, *protocol}};
}

} // namespace

flow_end parse_flow_end(std::string_view text)
{
    if (auto const with_port = try_parse_socket_address(text))
        return {with_port->address, with_port->port};
    auto const address = parse_ipv4(text);
    if (!address)
        throw usage_error(usage_error_kind::bad_argument, std::string(text));
    return {*address, std::nullopt};
}

flow_endpoints parse_flow(std::string_view text)
{
    auto const flow = try_parse_flow(text);
    if (!flow.has_value())
        throw usage_error(usage_error_kind::bad_argument, std::string(text));
    return *flow;
}

socket_address parse_socket_address(std::string_view text)
{
    auto const address = try_parse_socket_address(text);
    if (!address.has_value())
        throw usage_error(usage_error_kind::bad_flag_value, std::string(text));
    return *address;
}

} // namespace cairnhead
