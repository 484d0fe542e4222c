#pragma once

#include <packet/packet_view.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

/// HTTP 503 refusals without state, for services that declare
/// `refusal: http_503`.
///
/// Any entry VM can answer any packet of a refused flow, since all that must
/// be known stands in the initial sequence number of the SYN-ACK, a SYN cookie
/// (RFC 4987 3.6):
///
///     bits 31..5  keyed hash of marker, flow, counter and retry index
///     bits 4..3   counter modulo 4
///     bits 2..0   index into `retry_after_choices`
///
/// The caller returns the cookie plus one in its acknowledgements, and after
/// the answer the cookie plus the answer's length. "Not run" stays true even
/// if a repeated SYN was placed at an upstream: whatever acknowledges the
/// cookie lies outside that upstream's own sequence numbers, so its TCP
/// cannot accept the data.
namespace cairnhead
{

/// Counts periods of `refusal_counter_period` since the epoch of the wall
/// clock, the only clock that all VMs share.
using refusal_counter = strong_value<struct refusal_counter_tag, std::uint32_t>;

/// The counter's step. A cookie is recognised in the period of its making and
/// the two after it, so a caller has two to three periods for its request.
/// One more is accepted in advance: a VM whose clock is a period behind would
/// otherwise ignore callers that another VM refused.
inline constexpr auto refusal_counter_period = std::chrono::seconds(64);

/// What a refusal can say in Retry-After; the cookie holds an index to them.
inline constexpr std::array<std::chrono::seconds, 8> retry_after_choices = {
    std::chrono::seconds(1),  std::chrono::seconds(2),
    std::chrono::seconds(5),  std::chrono::seconds(10),
    std::chrono::seconds(20), std::chrono::seconds(30),
    std::chrono::seconds(60), std::chrono::seconds(120)};

/// Size of the secret that all entry VMs share.
inline constexpr std::size_t refusal_key_size = 16;

/// Answers the packets of refused flows.
///
/// Dialogue, by what the caller sends:
///
///     SYN, with or without data     SYN-ACK that acknowledges the SYN alone
///     ACK                           nothing
///     data or FIN                   the whole answer: 503 and FIN
///     data or FIN after the answer  ACK
///     RST                           nothing
///
/// The first data segment is answered although the request may go on: a
/// request that is refused need not be read. Each further segment that does
/// not acknowledge the answer gets the same bytes at the same sequence number
/// again, so loss, repetition and reordering need no state. Segments after the
/// answer are acknowledged rather than reset: RFC 9112 9.6 warns that a reset
/// may erase the answer "before that client's HTTP parser has a chance to read
/// it".
///
/// Thread safety: immutable after construction; all members may be called
/// from any thread.
class refusal_responder
{
public:
    /// Precondition: `refusal_key_size` key bytes, the same on all entry VMs.
    explicit refusal_responder(std::span<std::uint8_t const> key_bytes);

    /// Whether a packet belongs to a flow that a responder refused: it
    /// acknowledges a cookie of this key that has not expired. Depends on the
    /// packet, the key and the counter alone. Any other packet passes as one
    /// with a probability of 2^-26 or less, so ask only for flows without a
    /// pin. Never true of an opening. Thread safety: pure.
    [[nodiscard]] bool
    recognises(packet_view const& packet, refusal_counter now) const;

    /// The packet to send to the caller, if any is due. An opening is always
    /// answered, so the caller of this function must have refused it; any
    /// other packet only if `recognises` is true of it. `retry_after` is used
    /// for openings alone, rounded up to one of `retry_after_choices` (the
    /// largest if there is none); later packets carry the choice themselves.
    /// Thread safety: pure.
    [[nodiscard]] std::optional<std::vector<std::uint8_t>> answer(
        packet_view const& packet,
        std::chrono::seconds retry_after,
        refusal_counter now) const;

private:
    /// How far the caller has come, by the cookie that it acknowledges.
    enum class progress : std::uint8_t
    {
        before_answer,
        after_answer,
    };

    struct recognised_flow
    {
        progress reached;
        std::size_t retry_index;
    };

    [[nodiscard]] std::uint32_t make_cookie(
        packet_view const& packet,
        refusal_counter counter,
        std::size_t retry_index) const;

    [[nodiscard]] bool is_own_cookie(
        packet_view const& packet,
        std::uint32_t cookie,
        refusal_counter now) const;

    [[nodiscard]] std::optional<recognised_flow>
    recognise(packet_view const& packet, refusal_counter now) const;

    [[nodiscard]] std::vector<std::uint8_t> answer_opening(
        packet_view const& packet,
        std::chrono::seconds retry_after,
        refusal_counter now) const;

    std::array<std::uint8_t, refusal_key_size> key{};
};

} // namespace cairnhead
