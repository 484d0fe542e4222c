#pragma once

#include <packet/packet_view.hpp>
#include <runtime/receive_batch.hpp>

#include <array>
#include <cstdint>
#include <exception>
#include <optional>

namespace cairnhead
{

/// Thrown when the reducer names a packet that it was not given, or names one
/// twice: a packet would be sent twice or to the wrong place.
class unknown_packet_token : public std::exception
{
public:
    explicit unknown_packet_token(packet_token token);

    /// No precondition. Thread safety: concurrent readers.
    [[nodiscard]] packet_token token() const;

    [[nodiscard]] char const* what() const noexcept override;

private:
    packet_token unknown;
};

/// The packets that the reducer decides about now, by token. A packet's bytes
/// stay in the buffer in which they were received.
/// Thread safety of all methods: none; one thread, the packet thread.
class packet_pool
{
public:
    /// Keeps a packet. Precondition: fewer than `batch_size` are held, and
    /// the packet's bytes stay in place until it is taken.
    [[nodiscard]] packet_token hold(packet_view const& packet);

    /// Gives a packet back and forgets its token. Throws
    /// `unknown_packet_token`.
    [[nodiscard]] packet_view take(packet_token token);

    /// Forgets all packets, and tells how many there were: each is one about
    /// which the reducer did not decide. No precondition.
    [[nodiscard]] std::size_t clear();

private:
    std::array<std::optional<packet_view>, batch_size> packets;
    std::uint32_t first_token = 0;
    std::uint32_t held_count = 0;
    std::uint32_t taken_count = 0;
};

} // namespace cairnhead
