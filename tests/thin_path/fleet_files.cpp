#include "fleet_files.hpp"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <system_error>
#include <unistd.h>

namespace cairnhead::thin_path
{

namespace
{

constexpr int platform_host = 10;
constexpr int fabric_host = 20;
constexpr int callers_host = 30;
constexpr int first_entry_vm_host = 100;
constexpr int first_upstream_host = 200;

void write_file(std::filesystem::path const& path, std::string_view text)
{
    std::ofstream(path) << text;
}

std::string allotment_text(address_plan const& plan)
{
    std::ostringstream text;
    text << "organisations:\n"
            "  association:\n"
            "    addresses: [198.51.100.0/28]\n"
            "    upstreams:\n";
    for (int number = 0; number < upstream_count; ++number)
        text << "      - " << plan.upstream(number) << '\n';
    return text.str();
}

/// The second number of this process's loopback addresses. Two checkouts that
/// are tried on one machine would otherwise take each other's ports.
int own_network()
{
    constexpr int first_network = 64;
    constexpr int networks = 128;
    return first_network + ::getpid() % networks;
}

} // namespace

address_plan::address_plan(int test_number)
    : prefix(
          "127." + std::to_string(own_network()) + "." +
          std::to_string(test_number) + ".")
{
}

std::string address_plan::host(int number) const
{
    return this->prefix + std::to_string(number);
}

std::string address_plan::platform() const
{
    return this->host(platform_host);
}

std::string address_plan::fabric() const
{
    return this->host(fabric_host);
}

std::string address_plan::callers() const
{
    return this->host(callers_host);
}

std::string address_plan::entry_vm(int number) const
{
    return this->host(first_entry_vm_host + number);
}

std::string address_plan::upstream(int number) const
{
    return this->host(first_upstream_host + number);
}

std::string_view failure_domain_of(int number)
{
    return number % 2 == 0 ? "stirling" : "perth";
}

temporary_folder::temporary_folder()
{
    auto pattern =
        (std::filesystem::temp_directory_path() / "cairnhead-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr)
        throw std::system_error(errno, std::generic_category());
    this->folder = pattern;
}

temporary_folder::~temporary_folder()
{
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

std::filesystem::path const& temporary_folder::path() const
{
    return this->folder;
}

void write_documents(
    std::filesystem::path const& folder, address_plan const& plan)
{
    std::filesystem::create_directories(folder / "organisations");
    write_file(folder / "allotment.yaml", allotment_text(plan));
    write_file(
        folder / "organisations" / "association.yaml", organisation_text(plan));
}

std::string
organisation_text(address_plan const& plan, declared_change const& change)
{
    std::ostringstream text;
    text << "organisation: association\n"
            "services:\n"
            "  listings:\n"
            "    address: "
         << service_address
         << "\n"
            "    protocol: tcp\n"
            "    selector: app=listings\n"
            "    class: form\n"
            "    prefer: balance\n";
    if (!change.service_line.empty())
        text << "    " << change.service_line << '\n';
    text << "upstreams:\n";
    for (int number = 0; number < upstream_count; ++number)
    {
        text << "  listings-" << number << ":\n"
             << "    address: " << plan.upstream(number) << '\n'
             << "    failure_domain: " << failure_domain_of(number) << '\n'
             << "    slots: 2\n"
             << "    connections: 2000\n"
             << "    health_port: 8080\n"
             << "    labels:\n"
             << "      app: listings\n";
        if (std::ranges::count(change.draining, number) != 0)
            text << "      draining: \"true\"\n";
    }
    return text.str();
}

std::filesystem::path write_settings(
    std::filesystem::path const& folder, address_plan const& plan, int number)
{
    std::ostringstream text;
    text << "vm:\n"
         << "  address: " << plan.entry_vm(number) << '\n'
         << "  failure_domain: " << failure_domain_of(number) << '\n'
         << "fabric:\n"
         << "  listen_port: 6080\n"
         << "  sources: [" << plan.fabric() << "]\n"
         << "  return: " << plan.fabric() << ":6082\n"
         << "peers:\n"
         << "  port: 6081\n"
         << "  document_port: 6083\n"
         << "  seeds: [" << plan.entry_vm(0) << ", " << plan.entry_vm(1)
         << "]\n"
         << "  keys:\n"
         << "    - id: 1\n"
         << "      secret: " << std::string(64, '5') << '\n'
         << "flow_key: " << std::string(32, '7') << '\n'
         << "platform:\n"
         << "  url: http://" << plan.platform() << ":8500\n"
         << "metrics:\n"
         << "  port: 9100\n";
    auto path = folder / ("vm-" + std::to_string(number) + ".yaml");
    write_file(path, text.str());
    return path;
}

} // namespace cairnhead::thin_path
