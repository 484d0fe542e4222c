#pragma once

#include <base/identifiers.hpp>
#include <control/bounded_stream.hpp>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

namespace cairnhead
{

/// Bounds of the messages on one connection.
struct rpc_limits
{
    std::size_t received_bytes = 0;
    std::size_t sent_bytes = 0;
};

/// One two-party connection with bounds: the library's own helpers accept
/// messages of 64 MiB from anybody, before any check of a tag.
/// Thread safety of all methods: none; one thread with a KJ event loop.
class rpc_channel
{
public:
    /// The serving side. No precondition.
    rpc_channel(
        kj::Own<kj::AsyncIoStream> stream,
        rpc_limits limits,
        capnp::Capability::Client served);

    /// The asking side. No precondition.
    rpc_channel(kj::Own<kj::AsyncIoStream> stream, rpc_limits limits);

    /// What the other side serves. Precondition: this is the asking side.
    [[nodiscard]] capnp::Capability::Client bootstrap();

    /// Resolves when the connection ends. No precondition.
    [[nodiscard]] kj::Promise<void> when_closed();

private:
    bounded_stream messages;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
};

/// The address for KJ. Precondition: `network` outlives the result.
[[nodiscard]] kj::Own<kj::NetworkAddress>
make_address(kj::Network& network, ipv4_address address, std::uint16_t port);

} // namespace cairnhead
