#include <support/fleet.hpp>

#include <base/hash.hpp>
#include <base/ipv4.hpp>

namespace cairnhead::test
{

namespace
{

std::string network_text(std::string const& first_two, std::uint32_t network)
{
    return first_two + "." + std::to_string(network) + ".0/24";
}

} // namespace

std::string sample_declarations::organisation_text() const
{
    std::string text =
        "organisation: " + this->organisation +
        "\nservices:\n  listings:\n    address: " +
        format_ipv4(this->address().address) + ":" +
        std::to_string(this->address().port) +
        "\n    protocol: tcp\n    selector: \"" + this->selector +
        "\"\n    class: feed\n    prefer: " + this->prefer + "\n";
    if (!this->limits.empty())
        text += "    limits: " + this->limits + "\n";
    text += "upstreams:\n";
    for (std::size_t position = 0; position < this->upstreams; ++position)
    {
        std::string const domain =
            this->domains[position % this->domains.size()];
        text += "  host-" + std::to_string(position) + ":\n    address: " +
                format_ipv4(ipv4_address(this->upstream_at(position).value())) +
                "\n    failure_domain: " + domain +
                "\n    slots: " + std::to_string(this->slots) +
                "\n    connections: 20000";
        if (this->health_port != 0)
            text += "\n    health_port: " + std::to_string(this->health_port);
        text += "\n    labels: {app: listings";
        if (this->draining.contains(position))
            text += ", draining: \"true\"";
        text += "}\n";
    }
    return text;
}

endpoint sample_declarations::address() const
{
    std::uint32_t const base = 198U << 24 | 51U << 16;
    return {
        ipv4_address(base | this->network << 8 | 1), 8443,
        transport_protocol::tcp};
}

upstream_id sample_declarations::upstream_at(std::size_t position) const
{
    std::uint32_t const base = 127U << 24;
    return upstream_id(
        base | this->network << 8 | static_cast<std::uint32_t>(position + 1));
}

std::string
allotment_text(std::vector<sample_declarations> const& organisations)
{
    std::string text = "organisations:\n";
    for (sample_declarations const& item : organisations)
    {
        text += "  " + item.organisation + ":\n    addresses: [" +
                network_text("198.51", item.network) + "]\n    upstreams: [" +
                network_text("127.0", item.network) + "]\n";
    }
    return text;
}

std::vector<fleet_vm>
sample_vms(std::size_t count, std::vector<std::string> const& domains)
{
    std::vector<fleet_vm> vms;
    std::uint32_t const base = 127U << 24 | 1U << 8;
    for (std::size_t position = 0; position < count; ++position)
    {
        std::string const& domain = domains[position % domains.size()];
        vms.push_back(
            {vm_id(base + static_cast<std::uint32_t>(position) + 1),
             make_failure_domain_id(domain)});
    }
    return vms;
}

fleet_settings sample_fleet(
    std::size_t vm_count,
    std::vector<std::string> const& domains,
    std::vector<sample_declarations> const& organisations)
{
    fleet_settings made;
    made.vms = sample_vms(vm_count, domains);
    made.documents["allotment"] = allotment_text(organisations);
    for (sample_declarations const& item : organisations)
    {
        made.documents["organisations/" + item.organisation] =
            item.organisation_text();
    }
    made.reducer.pins.maximum_pins = 50'000;
    return made;
}

} // namespace cairnhead::test
