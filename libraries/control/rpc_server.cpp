#include <control/control_service.hpp>
#include <control/document_service.hpp>
#include <control/rpc_channel.hpp>
#include <control/rpc_errors.hpp>
#include <control/rpc_listener.hpp>
#include <control/rpc_server.hpp>
#include <loop/kj_thread.hpp>

#include <future>
#include <utility>

namespace cairnhead
{

namespace
{

/// Begins to serve on the RPC thread; returns the port.
std::uint16_t listen(
    kj_loop& loop,
    ipv4_address address,
    std::uint16_t port,
    capnp::Capability::Client served)
{
    auto receiver = make_address(loop.network(), address, port)->listen();
    auto const bound = static_cast<std::uint16_t>(receiver->getPort());
    auto listener =
        kj::heap<rpc_listener>(loop, kj::mv(receiver), kj::mv(served));
    auto accepting = listener->accept_connections();
    loop.tasks.add(accepting.attach(kj::mv(listener)));
    return bound;
}

/// Makes the interface and serves it, both on the RPC thread, since its
/// reference counts belong to that thread.
template <typename MakeInterface>
std::uint16_t serve(
    kj_thread& thread,
    ipv4_address address,
    std::uint16_t port,
    MakeInterface make_interface)
{
    std::promise<std::uint16_t> bound;
    auto result = bound.get_future();
    thread.post(
        [&](kj_loop& loop)
        {
            try
            {
                bound.set_value(listen(loop, address, port, make_interface()));
            }
            catch (kj::Exception const&)
            {
                bound.set_exception(std::make_exception_ptr(
                    rpc_address_unavailable(address, port)));
            }
        });
    return result.get();
}

} // namespace

rpc_server::rpc_server() : thread(std::make_unique<kj_thread>())
{
}

rpc_server::~rpc_server() = default;

std::uint16_t rpc_server::serve_control(
    ipv4_address address, std::uint16_t port, control_source source)
{
    auto const make = [&]
    {
        return kj::heap<control_service>(std::move(source));
    };
    return serve(*this->thread, address, port, make);
}

std::uint16_t rpc_server::serve_documents(
    ipv4_address address,
    std::uint16_t port,
    document_source source,
    authenticator const& keys)
{
    auto const make = [&]
    {
        return kj::heap<document_service>(std::move(source), keys);
    };
    return serve(*this->thread, address, port, make);
}

} // namespace cairnhead
