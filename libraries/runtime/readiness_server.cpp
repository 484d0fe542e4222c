#include <runtime/readiness_server.hpp>

#include <runtime/address_unavailable.hpp>

#include <base/ipv4.hpp>

#include <cerrno>
#include <httplib.h>

namespace cairnhead
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

/// The fabric asks twice a second, and each thread costs memory.
constexpr std::size_t answering_threads = 2;

/// A connection that says nothing must not hold a thread for long.
constexpr time_t read_timeout_seconds = 1;

} // namespace

readiness_server::readiness_server(
    ipv4_address own_address,
    readiness_settings const& settings,
    std::atomic<bool> const& is_ready)
{
    if (settings.port == 0)
        return;
    this->server = std::make_unique<httplib::Server>();
    this->server->new_task_queue = []
    {
        return new httplib::ThreadPool(answering_threads);
    };
    this->server->set_keep_alive_max_count(1);
    this->server->set_read_timeout(read_timeout_seconds);
    this->server->Get(
        settings.path,
        [&is_ready](httplib::Request const&, httplib::Response& answer)
        {
            answer.status = is_ready ? status_ok : status_unavailable;
        });
    bool const is_bound = this->server->bind_to_port(
        format_ipv4(own_address).c_str(), settings.port);
    if (!is_bound)
        throw address_unavailable({own_address, settings.port}, errno);
    this->listener = std::thread(
        [this]
        {
            this->server->listen_after_bind();
        });
}

readiness_server::~readiness_server()
{
    if (this->server == nullptr)
        return;
    this->server->stop();
    this->listener.join();
}

} // namespace cairnhead
