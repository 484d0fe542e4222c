#include <control/bounded_stream.hpp>

namespace cairnhead
{

bounded_stream::bounded_stream(
    kj::Own<kj::AsyncIoStream> stream, std::size_t maximum_received_bytes)
    : connection(kj::mv(stream)), messages_of_connection(*this->connection),
      received_words(maximum_received_bytes / sizeof(capnp::word))
{
}

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>>
bounded_stream::tryReadMessage(
    kj::ArrayPtr<kj::AutoCloseFd> descriptors,
    capnp::ReaderOptions options,
    kj::ArrayPtr<capnp::word> scratch)
{
    options.traversalLimitInWords = this->received_words;
    return this->messages_of_connection.tryReadMessage(
        descriptors, options, scratch);
}

kj::Promise<void> bounded_stream::writeMessage(
    kj::ArrayPtr<int const> descriptors,
    kj::ArrayPtr<kj::ArrayPtr<capnp::word const> const> segments)
{
    return this->messages_of_connection.writeMessage(descriptors, segments);
}

kj::Promise<void> bounded_stream::writeMessages(
    kj::ArrayPtr<kj::ArrayPtr<kj::ArrayPtr<capnp::word const> const>> messages)
{
    return this->messages_of_connection.writeMessages(messages);
}

kj::Maybe<int> bounded_stream::getSendBufferSize()
{
    return this->messages_of_connection.getSendBufferSize();
}

kj::Promise<void> bounded_stream::end()
{
    return this->messages_of_connection.end();
}

} // namespace cairnhead
