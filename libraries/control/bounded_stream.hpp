#pragma once

#include <capnp/serialize-async.h>
#include <kj/async-io.h>

namespace cairnhead
{

// Cap'n Proto's classes have destructors that are not virtual, by design:
// kj::Own keeps the function that destroys the real type. Deleting through
// such a base stays an error (-Wdelete-non-virtual-dtor).
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"

/// Reads messages up to a bound of its own. The RPC library has one bound for
/// both directions; a server whose answers are large would have to accept
/// questions as large, from anybody and before any check of a tag.
/// Thread safety of all methods: none; one thread with a KJ event loop.
class bounded_stream final : public capnp::MessageStream
{
public:
    /// No precondition.
    bounded_stream(
        kj::Own<kj::AsyncIoStream> stream, std::size_t maximum_received_bytes);

    kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> tryReadMessage(
        kj::ArrayPtr<kj::AutoCloseFd> descriptors,
        capnp::ReaderOptions options,
        kj::ArrayPtr<capnp::word> scratch) override;

    kj::Promise<void> writeMessage(
        kj::ArrayPtr<int const> descriptors,
        kj::ArrayPtr<kj::ArrayPtr<capnp::word const> const> segments) override;

    kj::Promise<void> writeMessages(
        kj::ArrayPtr<kj::ArrayPtr<kj::ArrayPtr<capnp::word const> const>>
            messages) override;

    kj::Maybe<int> getSendBufferSize() override;

    kj::Promise<void> end() override;

private:
    kj::Own<kj::AsyncIoStream> connection;
    capnp::AsyncIoMessageStream messages_of_connection;
    std::size_t received_words;
};

#pragma GCC diagnostic pop

} // namespace cairnhead
