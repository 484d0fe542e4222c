#pragma once

#include <base/identifiers.hpp>
#include <control/rpc_channel.hpp>

#include <functional>
#include <kj/refcount.h>

namespace cairnhead
{

/// A connection to a peer that several calls use at the same time; it closes
/// with the last of them. What a VM fetches from one peer comes as several
/// documents: a connection for each would cost both sides as much again as
/// the documents do.
/// Thread safety of all methods: none; one thread with a KJ event loop.
class shared_channel final : public kj::Refcounted
{
public:
    /// `closed` is called as the object ends. No precondition.
    shared_channel(
        kj::Promise<kj::Own<kj::AsyncIoStream>> connecting,
        rpc_limits limits,
        std::function<void()> closed);
    ~shared_channel() noexcept(false) override;
    KJ_DISALLOW_COPY(shared_channel);

    /// What the other side serves, once it is connected. The caller keeps the
    /// object until its calls have ended. No precondition.
    [[nodiscard]] kj::Promise<capnp::Capability::Client> bootstrap();

private:
    kj::Promise<void>
    open(kj::Promise<kj::Own<kj::AsyncIoStream>> connecting, rpc_limits limits);

    std::function<void()> on_closed;
    kj::Own<rpc_channel> channel;
    /// Last, as it uses the members before it.
    kj::ForkedPromise<void> connected;
};

} // namespace cairnhead
