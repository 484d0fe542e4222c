#include <control/rpc_channel.hpp>

#include <arpa/inet.h>
#include <capnp/message.h>
#include <netinet/in.h>

namespace cairnhead
{

namespace
{

using capnp::rpc::twoparty::Side;
using capnp::rpc::twoparty::VatId;

/// Calls of one connection that are answered at the same time, as the words
/// of their questions. Answers are large; a client that asks much and reads
/// nothing would fill the memory with them.
constexpr std::size_t words_in_progress = 256;

/// The RPC library holds what it sends to this bound, too.
capnp::ReaderOptions sending(rpc_limits limits)
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = limits.sent_bytes / sizeof(capnp::word);
    return options;
}

} // namespace

rpc_channel::rpc_channel(
    kj::Own<kj::AsyncIoStream> stream,
    rpc_limits limits,
    capnp::Capability::Client served)
    : messages(kj::mv(stream), limits.received_bytes),
      network(this->messages, Side::SERVER, sending(limits)),
      system(capnp::makeRpcServer(this->network, kj::mv(served)))
{
    this->system.setFlowLimit(words_in_progress);
}

rpc_channel::rpc_channel(kj::Own<kj::AsyncIoStream> stream, rpc_limits limits)
    : messages(kj::mv(stream), limits.received_bytes),
      network(this->messages, Side::CLIENT, sending(limits)),
      system(capnp::makeRpcClient(this->network))
{
}

capnp::Capability::Client rpc_channel::bootstrap()
{
    capnp::MallocMessageBuilder builder;
    auto other = builder.initRoot<VatId>();
    other.setSide(Side::SERVER);
    return this->system.bootstrap(other);
}

kj::Promise<void> rpc_channel::when_closed()
{
    return this->network.onDisconnect();
}

kj::Own<kj::NetworkAddress>
make_address(kj::Network& network, ipv4_address address, std::uint16_t port)
{
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_addr.s_addr = htonl(address.value());
    raw.sin_port = htons(port);
    return network.getSockaddr(&raw, sizeof(raw));
}

} // namespace cairnhead
