#include <control/shared_channel.hpp>

#include <utility>

namespace cairnhead
{

shared_channel::shared_channel(
    kj::Promise<kj::Own<kj::AsyncIoStream>> connecting,
    rpc_limits limits,
    std::function<void()> closed)
    : on_closed(std::move(closed)),
      connected(this->open(kj::mv(connecting), limits).fork())
{
}

kj::Promise<void> shared_channel::open(
    kj::Promise<kj::Own<kj::AsyncIoStream>> connecting, rpc_limits limits)
{
    return connecting.then(
        [this, limits](kj::Own<kj::AsyncIoStream>&& stream)
        {
            this->channel = kj::heap<rpc_channel>(kj::mv(stream), limits);
        });
}

shared_channel::~shared_channel() noexcept(false)
{
    this->on_closed();
}

kj::Promise<capnp::Capability::Client> shared_channel::bootstrap()
{
    return this->connected.addBranch().then(
        [this]
        {
            return this->channel->bootstrap();
        });
}

} // namespace cairnhead
