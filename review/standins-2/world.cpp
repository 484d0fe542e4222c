#include "world.hpp"

#include <cstdio>
#include <unistd.h>

namespace review
{

namespace
{

constexpr std::uint16_t store_port = 8169;
constexpr std::uint16_t host_port = 8080;
constexpr unsigned zones = 3;
constexpr unsigned machines_per_zone = 2;
constexpr unsigned hosts_per_service_and_zone = 2;

std::string zone_name(unsigned zone)
{
    return std::string("dub-") + static_cast<char>('a' + zone);
}

} // namespace

world::world(arguments const& given)
    : has_trouble(given.has_trouble), seen(given.record_path),
      prefix(claim_prefix()), registry(this->events, this->seen),
      first_route(loopback(this->prefix, 240, 1))
{
    std::uint64_t seed = static_cast<std::uint64_t>(::getpid());
    this->publish(7, {});
    for (unsigned zone = 0; zone < zones; ++zone)
    {
        for (unsigned number = 0; number < 2 * hosts_per_service_and_zone;
             ++number)
        {
            // Numbers below 2^31, so that no two differ in the highest bit
            // alone.
            std::uint64_t const instance =
                0x11000000U + zone * 0x10000U + number * 0x101U + 0x35U;
            char id[16];
            std::snprintf(
                id, sizeof(id), "i-%08x", static_cast<unsigned>(instance));
            this->hosts.push_back(std::make_unique<host>(
                this->events, this->seen, this->registry,
                host::description{
                    .id = id,
                    .number = instance,
                    .address = loopback(this->prefix, 100 + zone, number + 1),
                    .port = host_port,
                    .service = number < hosts_per_service_and_zone
                                   ? "applydesk"
                                   : "packprint",
                    .zone = zone_name(zone)},
                ++seed));
        }
    }
    fleet::options chosen{
        .binary = given.binary,
        .settings_template = given.settings_template,
        .folder = given.folder,
        .seeds = {}};
    auto const address = [this](unsigned zone, unsigned number)
    {
        return loopback(this->prefix, zone + 1, number + 1);
    };
    chosen.seeds = {address(0, 0), address(1, 0), address(2, 0)};
    this->machines = std::make_unique<fleet>(this->events, this->seen, chosen);
    for (unsigned zone = 0; zone < zones; ++zone)
    {
        for (unsigned number = 0; number < machines_per_zone; ++number)
        {
            machine one;
            one.name =
                "front-" + zone_name(zone) + "-" + std::to_string(number + 1);
            one.zone = zone_name(zone);
            one.address = address(zone, number);
            one.store_address =
                loopback(this->prefix, 250, zone * 10 + number + 1);
            this->registry.serve(one.store_address, store_port, one.name);
            this->machines->add(one);
        }
    }
    this->client = std::make_unique<caller>(
        this->events, this->seen, *this->machines,
        loopback(this->prefix, 200, 1), zone_name(0), ++seed);
}

void world::start()
{
    this->machines->start_all();
    bool const is_up = this->events.run_until(
        [this]
        {
            return this->machines->are_all_in_rotation();
        },
        milliseconds(20'000));
    if (!is_up)
        give_up("the machines did not become ready");
}

void world::publish(
    int version, std::vector<route> const& routes, milliseconds idle_timeout)
{
    std::string text =
        R"({"configVersion":)" + std::to_string(version) + R"(,"routes":[)";
    bool is_first = true;
    for (route const& each : routes)
    {
        text += is_first ? "" : ",";
        is_first = false;
        text += R"({"name":"r-)" + std::to_string(each.port) + R"(","host":")" +
                to_text(each.address) + R"(","prefix":"/)" +
                std::to_string(each.port) + R"(/","kind":")" + each.kind +
                R"(","timeoutMs":1500,"targetLatencyMs":250,"priority":1,)" +
                R"("service":")" + each.service + R"(","maxAttempts":2})";
    }
    text += R"(],"services":[{"name":"applydesk","healthPath":"/health",)"
            R"("maxConns":2000,"protocol":"h1","tls":false},)"
            R"({"name":"packprint","healthPath":"/health","maxConns":2000,)"
            R"("protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,)"
            R"("maxBodyBytes":262144,"headerTimeoutMs":3000,)"
            R"("idleTimeoutMs":)" +
            std::to_string(idle_timeout.count()) + "}}";
    this->registry.put("op/config", text);
    this->seen.write(
        "operator publishes version=" + std::to_string(version) +
        " routes=" + std::to_string(routes.size()) +
        " idleTimeoutMs=" + std::to_string(idle_timeout.count()) +
        " revision=" + std::to_string(this->registry.revision()));
}

} // namespace review
