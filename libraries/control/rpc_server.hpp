#pragma once

#include <control/control_source.hpp>
#include <wire/authenticator.hpp>

#include <memory>

namespace cairnhead
{

class kj_thread;

/// Serves operators and peers over Cap'n Proto RPC in a thread of its own.
/// Thread safety of all methods: one thread.
class rpc_server
{
public:
    /// Starts the thread. Throws `kj_thread_unavailable`.
    rpc_server();

    /// Closes all connections at once and ends the thread. Replies that come
    /// later do nothing.
    ~rpc_server();
    rpc_server(rpc_server const&) = delete;
    rpc_server& operator=(rpc_server const&) = delete;

    /// Serves operators at an address; port zero takes a free one. Returns
    /// the port. Throws `rpc_address_unavailable`.
    /// Precondition: all functions of the source are set.
    std::uint16_t serve_control(
        ipv4_address address, std::uint16_t port, control_source source);

    /// Serves documents to VMs that hold a key. Else as above.
    /// Precondition: the source is set; the keys outlive the object.
    std::uint16_t serve_documents(
        ipv4_address address,
        std::uint16_t port,
        document_source source,
        authenticator const& keys);

private:
    std::unique_ptr<kj_thread> thread;
};

} // namespace cairnhead
