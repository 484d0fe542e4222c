#include <runtime/request_server.hpp>

#include <control/rpc_server.hpp>
#include <runtime/control_sources.hpp>

namespace cairnhead
{

request_server::request_server(parts const& shared)
    : server(std::make_unique<rpc_server>())
{
    daemon_settings const& settings = shared.settings;
    ipv4_address const own(settings.reducer.self.id.value());
    this->server->serve_documents(
        settings.peers.listen_address, settings.peers.document_port,
        make_document_source(shared.arrivals), shared.keys);
    this->server->serve_control(
        own, settings.control_port,
        make_control_source(settings, shared.arrivals));
}

request_server::~request_server() = default;

} // namespace cairnhead
