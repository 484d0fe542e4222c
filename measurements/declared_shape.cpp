#include "declared_shape.hpp"

#include <base/ipv4.hpp>
#include <declaration/declaration.hpp>

namespace cairnhead::measure
{

namespace
{

constexpr std::size_t domain_count = 7;
constexpr std::uint16_t first_port = 1'000;

// Each organisation has 256 service addresses and 4,096 upstream addresses.
constexpr std::uint32_t service_base = 100U << 24 | 64U << 16;
constexpr unsigned service_bits = 8;
constexpr std::uint32_t upstream_base = 10U << 24 | 128U << 16;
constexpr unsigned upstream_bits = 12;

std::string organisation_name(std::size_t organisation)
{
    return "organisation-" + std::to_string(organisation);
}

std::string service_address(std::size_t organisation)
{
    return format_ipv4(ipv4_address(
        (service_base +
         (static_cast<std::uint32_t>(organisation) << service_bits)) |
        1));
}

std::string upstream_address(std::size_t organisation, std::size_t number)
{
    std::uint32_t const network =
        upstream_base +
        (static_cast<std::uint32_t>(organisation) << upstream_bits);
    return format_ipv4(
        ipv4_address(network + static_cast<std::uint32_t>(number) + 1));
}

std::string write_allotment(std::size_t organisations)
{
    std::string text = "organisations:\n";
    for (std::size_t number = 0; number < organisations; ++number)
    {
        auto const position = static_cast<std::uint32_t>(number);
        ipv4_address const services(service_base + (position << service_bits));
        ipv4_address const upstreams(
            upstream_base + (position << upstream_bits));
        text += "  " + organisation_name(number) + ":\n    addresses: [" +
                format_ipv4(services) + "/24]\n    upstreams: [" +
                format_ipv4(upstreams) + "/20]\n";
    }
    return text;
}

/// How many of `total` fall to the part at a position.
std::size_t share_of(std::size_t total, std::size_t parts, std::size_t position)
{
    return total / parts + (position < total % parts ? 1 : 0);
}

std::string write_services(
    declared_shape const& shape, std::size_t organisation, std::size_t count)
{
    std::string text = "services:\n";
    for (std::size_t number = 0; number < count; ++number)
    {
        text += "  service-" + std::to_string(number) +
                ":\n    address: " + service_address(organisation) + ":" +
                std::to_string(first_port + number) +
                "\n    protocol: tcp\n    selector: \"app=a" +
                std::to_string(number) +
                "\"\n    class: feed\n    prefer: " + shape.prefer + "\n";
    }
    return text;
}

std::string write_upstreams(
    std::size_t organisation, std::size_t count, std::size_t services)
{
    std::string text = "upstreams:\n";
    for (std::size_t number = 0; number < count; ++number)
    {
        text += "  host-" + std::to_string(number) +
                ":\n    address: " + upstream_address(organisation, number) +
                "\n    failure_domain: " + domain_name(number) +
                "\n    slots: 2\n    labels: {app: a" +
                std::to_string(number % services) + "}\n";
    }
    return text;
}

} // namespace

std::vector<named_document> write_documents(declared_shape const& shape)
{
    std::vector<named_document> documents;
    documents.push_back(
        {std::string(allotment_document_name),
         write_allotment(shape.organisations)});
    for (std::size_t number = 0; number < shape.organisations; ++number)
    {
        std::size_t const services =
            share_of(shape.services, shape.organisations, number);
        std::size_t const upstreams =
            share_of(shape.upstreams, shape.organisations, number);
        documents.push_back(
            {std::string(organisation_document_prefix) +
                 organisation_name(number),
             "organisation: " + organisation_name(number) + "\n" +
                 write_services(shape, number, services) +
                 write_upstreams(number, upstreams, services)});
    }
    return documents;
}

directory read_documents(std::vector<named_document> const& documents)
{
    allotment const allotted = parse_allotment(documents.front().text);
    std::vector<organisation_document> read;
    for (named_document const& document : documents)
    {
        if (document.name == allotment_document_name)
            continue;
        read.push_back(parse_organisation(document.text));
        if (!check_against_allotment(read.back(), allotted).empty())
            throw std::logic_error("a measured document is refused");
    }
    return compile_directory(read);
}

endpoint first_service_address()
{
    return {
        ipv4_address(service_base | 1), first_port, transport_protocol::tcp};
}

std::string domain_name(std::size_t position)
{
    return "domain-" + std::to_string(position % domain_count);
}

} // namespace cairnhead::measure
