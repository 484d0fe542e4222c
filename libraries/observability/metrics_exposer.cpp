#include <observability/metrics_exposer.hpp>

#include <base/ipv4.hpp>
#include <http/http_server.hpp>
#include <prometheus/text_serializer.h>
#include <utility>

namespace cairnhead
{

namespace
{

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;

constexpr char text_format[] = "text/plain; version=0.0.4; charset=utf-8";

std::string socket_text(ipv4_address address, std::uint16_t port)
{
    return format_ipv4(address) + ":" + std::to_string(port);
}

http_reply answer(prometheus::Registry const& served, std::string_view path)
{
    if (path != "/metrics")
        return {status_not_found, {}, {}};
    return {
        status_ok, text_format,
        prometheus::TextSerializer().Serialize(served.Collect())};
}

} // namespace

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
        this->running = std::make_unique<http_server>(
            address, port,
            [shown = this->served](std::string_view path)
            {
                return answer(*shown, path);
            });
    }
    catch (http_address_unavailable const&)
    {
        throw exposer_unavailable(address, port);
    }
}

metrics_exposer::~metrics_exposer() = default;

bool metrics_exposer::is_listening() const
{
    return this->running != nullptr;
}

} // namespace cairnhead
