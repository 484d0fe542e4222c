#include <control/rpc_channel.hpp>
#include <control/rpc_listener.hpp>

namespace cairnhead
{

namespace
{

constexpr rpc_limits limits{
    .received_bytes = std::size_t{64} << 10U,
    .sent_bytes = std::size_t{8} << 20U};

/// Longer than the timeouts of both clients.
/// NOTE: strangers who hold all connections keep peers and operators out for
/// as long; the address should be reachable from the VMs' own network only.
constexpr auto connection_lifetime = 10 * kj::SECONDS;

/// Pause after a failed accept; most often descriptors ran out, and an
/// immediate next try would spin.
constexpr auto accept_pause = 100 * kj::MILLISECONDS;

} // namespace

rpc_listener::rpc_listener(
    kj_loop& on,
    kj::Own<kj::ConnectionReceiver> from,
    capnp::Capability::Client served)
    : loop(on), receiver(kj::mv(from)), interface(kj::mv(served)),
      connections(*this)
{
}

kj::Promise<void> rpc_listener::accept_connections()
{
    auto accepted = this->receiver->accept().then(
        [this](kj::Own<kj::AsyncIoStream>&& stream) -> kj::Promise<void>
        {
            this->serve(kj::mv(stream));
            return kj::READY_NOW;
        },
        [this](kj::Exception&&) -> kj::Promise<void>
        {
            auto& timer = this->loop.timer();
            return timer.atTime(timer.now() + accept_pause);
        });
    return accepted.then(
        [this]
        {
            return this->accept_connections();
        });
}

void rpc_listener::serve(kj::Own<kj::AsyncIoStream> stream)
{
    if (this->open_connections >= maximum_connections)
        return;
    ++this->open_connections;
    auto channel =
        kj::heap<rpc_channel>(kj::mv(stream), limits, this->interface);
    auto& timer = this->loop.timer();
    auto const deadline = timer.now() + connection_lifetime;
    auto ended = channel->when_closed().exclusiveJoin(timer.atTime(deadline));
    this->connections.add(ended.attach(kj::mv(channel))
                              .attach(kj::defer(
                                  [this]
                                  {
                                      --this->open_connections;
                                  })));
}

void rpc_listener::taskFailed(kj::Exception&&)
{
    // The connection broke; its other side notices that itself.
}

} // namespace cairnhead
