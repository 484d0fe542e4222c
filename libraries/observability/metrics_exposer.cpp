#include <observability/metrics_exposer.hpp>

#include <base/ipv4.hpp>
#include <prometheus/exposer.h>
#include <utility>
#include <vector>

namespace cairnhead
{

namespace
{

constexpr char serving_threads[] = "2";

std::string socket_text(ipv4_address address, std::uint16_t port)
{
    return format_ipv4(address) + ":" + std::to_string(port);
}

} // namespace

struct metrics_exposer::server
{
    explicit server(std::string const& address)
        : exposer(std::vector<std::string>{
              "listening_ports", address, "num_threads", serving_threads})
    {
    }

    prometheus::Exposer exposer;
};

exposer_unavailable::exposer_unavailable(
    ipv4_address address, std::uint16_t port)
    : text("metrics cannot be served at " + socket_text(address, port))
{
}

char const* exposer_unavailable::what() const noexcept
{
    return this->text.c_str();
}

metrics_exposer::metrics_exposer(
    std::shared_ptr<prometheus::Registry> registry,
    ipv4_address address,
    std::uint16_t port)
    : served(std::move(registry))
{
    if (port == 0)
        return;
    try
    {
        this->running = std::make_unique<server>(socket_text(address, port));
    }
    catch (std::exception const&)
    {
        throw exposer_unavailable(address, port);
    }
    this->running->exposer.RegisterCollectable(this->served);
}

metrics_exposer::~metrics_exposer() = default;

bool metrics_exposer::is_listening() const
{
    return this->running != nullptr;
}

} // namespace cairnhead
