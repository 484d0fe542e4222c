#include <runtime/readiness_server.hpp>

#include <runtime/address_unavailable.hpp>

#include <http/http_server.hpp>

namespace cairnhead
{

namespace
{

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;

} // namespace

readiness_server::readiness_server(
    ipv4_address own_address,
    readiness_settings const& settings,
    std::atomic<bool> const& is_ready)
{
    if (settings.port == 0)
        return;
    auto const answer = [path = settings.path,
                         &is_ready](std::string_view asked) -> http_reply
    {
        if (asked != path)
            return {status_not_found, {}, {}};
        return {is_ready ? status_ok : status_unavailable, {}, {}};
    };
    try
    {
        this->server =
            std::make_unique<http_server>(own_address, settings.port, answer);
    }
    catch (http_address_unavailable const& failure)
    {
        throw address_unavailable(
            {own_address, settings.port}, failure.error_number());
    }
}

readiness_server::~readiness_server() = default;

} // namespace cairnhead
