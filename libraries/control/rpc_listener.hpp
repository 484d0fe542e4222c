#pragma once

#include <loop/kj_thread.hpp>

#include <capnp/capability.h>

namespace cairnhead
{

/// Connections at one address at the same time; further ones are closed. All
/// VMs of a fleet may fetch several documents each from one VM at once.
inline constexpr std::size_t maximum_connections = 256;

/// Accepts connections at one address and serves one interface on each.
/// Connections are short; their number and life are bounded, so that whoever
/// opens many cannot use up the VM's descriptors and stop its packets.
/// Thread safety of all methods: none; the RPC thread.
class rpc_listener final : private kj::TaskSet::ErrorHandler
{
public:
    /// Precondition: the loop outlives the object.
    rpc_listener(
        kj_loop& loop,
        kj::Own<kj::ConnectionReceiver> receiver,
        capnp::Capability::Client served);

    /// Accepts until it is cancelled. Precondition: called once; the object
    /// outlives the promise.
    [[nodiscard]] kj::Promise<void> accept_connections();

private:
    void serve(kj::Own<kj::AsyncIoStream> stream);
    void taskFailed(kj::Exception&& failure) override;

    kj_loop& loop;
    kj::Own<kj::ConnectionReceiver> receiver;
    capnp::Capability::Client interface;
    std::size_t open_connections = 0;
    kj::TaskSet connections;
};

} // namespace cairnhead
