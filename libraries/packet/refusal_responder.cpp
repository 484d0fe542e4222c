#include <packet/byte_order.hpp>
#include <packet/flow_key.hpp>
#include <packet/http_refusal.hpp>
#include <packet/refusal_responder.hpp>
#include <packet/tcp.hpp>

#include <algorithm>
#include <cassert>

namespace cairnhead
{

namespace
{

constexpr std::uint32_t retry_bits = 3;
constexpr std::uint32_t retry_mask = (1U << retry_bits) - 1;
constexpr std::uint32_t counter_bits = 2;
constexpr std::uint32_t counter_mask = (1U << counter_bits) - 1;
constexpr std::uint32_t hash_shift = retry_bits + counter_bits;
static_assert(refusal_key_size == flow_hash_key_size);
static_assert(retry_after_choices.size() == retry_mask + 1);

// Keeps these hashes apart from any other use of the key.
constexpr std::uint8_t cookie_marker = 'R';

// Of the four counters that two bits tell apart, one lies ahead of `now`.
constexpr std::uint32_t counters_ahead = 1;

// What the caller acknowledges beyond the cookie: the SYN, then also the
// answer and its FIN.
constexpr std::uint32_t acknowledged_opening = 1;
constexpr std::uint32_t acknowledged_answer =
    acknowledged_opening + http_refusal_size + 1;

// Leaves room for the encapsulations in a path MTU of 1,500 bytes. Without
// this option RFC 9293 3.7.1 has the caller assume 536, and most requests
// would come in several segments.
constexpr std::uint16_t maximum_segment_size = 1380;
constexpr std::uint8_t mss_option_kind = 2;
constexpr std::uint8_t mss_option_size = 4;

// A request beyond two segments waits for the answer instead of filling the
// path with data that nobody reads. With a window of one segment, senders
// that bound segments to half the window would split it.
constexpr std::uint16_t opening_window = 2 * maximum_segment_size;
// Lets a caller that writes all of its request before it reads come to an
// end soon.
constexpr std::uint16_t answer_window = 65'535;

using mss_option = std::array<std::uint8_t, mss_option_size>;

mss_option make_mss_option()
{
    mss_option option = {mss_option_kind, mss_option_size};
    write_uint16(option, 2, maximum_segment_size);
    return option;
}

std::size_t find_retry_index(std::chrono::seconds retry_after)
{
    // Rounded up: a caller that comes back early is refused again.
    auto const* const found =
        std::ranges::lower_bound(retry_after_choices, retry_after);
    auto const index = found - retry_after_choices.begin();
    auto const last = std::ssize(retry_after_choices) - 1;
    return static_cast<std::size_t>(std::min(index, last));
}

bool is_opening(packet_view const& packet)
{
    return packet.phase == packet_phase::opening ||
           packet.phase == packet_phase::opening_with_data;
}

bool has_acknowledgement(packet_view const& packet)
{
    return packet.source.protocol == transport_protocol::tcp &&
           !is_opening(packet) && (packet.tcp_flags & tcp_flag::ack) != 0;
}

// Whether TCP owes the caller anything: a reset and a pure ACK get nothing.
bool is_answer_due(packet_view const& packet)
{
    if (packet.phase == packet_phase::reset)
        return false;
    return packet.phase == packet_phase::closing || !packet.payload.empty();
}

std::span<std::uint8_t const> view_bytes(std::string const& text)
{
    return {reinterpret_cast<std::uint8_t const*>(text.data()), text.size()};
}

std::vector<std::uint8_t>
answer_request(packet_view const& packet, std::size_t retry_index)
{
    auto const text = make_http_refusal(retry_after_choices[retry_index]);
    return write_tcp_answer(
        packet, {.sequence = packet.tcp_acknowledgement,
                 .acknowledgement = acknowledge_all(packet),
                 .flags = tcp_flag::ack | tcp_flag::psh | tcp_flag::fin,
                 .window = answer_window,
                 .payload = view_bytes(text)});
}

std::vector<std::uint8_t> acknowledge(packet_view const& packet)
{
    return write_tcp_answer(
        packet, {.sequence = packet.tcp_acknowledgement,
                 .acknowledgement = acknowledge_all(packet),
                 .flags = tcp_flag::ack,
                 .window = answer_window});
}

} // namespace

refusal_responder::refusal_responder(std::span<std::uint8_t const> key_bytes)
{
    assert(key_bytes.size() == refusal_key_size);
    std::ranges::copy(key_bytes, this->key.begin());
}

bool refusal_responder::recognises(
    packet_view const& packet, refusal_counter now) const
{
    return this->recognise(packet, now).has_value();
}

std::optional<std::vector<std::uint8_t>> refusal_responder::answer(
    packet_view const& packet,
    std::chrono::seconds retry_after,
    refusal_counter now) const
{
    if (is_opening(packet))
        return this->answer_opening(packet, retry_after, now);
    auto const flow = this->recognise(packet, now);
    if (!flow || !is_answer_due(packet))
        return std::nullopt;
    if (flow->reached == progress::after_answer)
        return acknowledge(packet);
    return answer_request(packet, flow->retry_index);
}

std::uint32_t refusal_responder::make_cookie(
    packet_view const& packet,
    refusal_counter counter,
    std::size_t retry_index) const
{
    auto const flow = make_flow_tuple(packet);
    std::array<std::uint8_t, 1 + flow.size() + 4 + 1> input{};
    input.front() = cookie_marker;
    std::ranges::copy(flow, input.begin() + 1);
    write_uint32(input, 1 + flow.size(), counter.value());
    input.back() = static_cast<std::uint8_t>(retry_index);
    auto const hash = static_cast<std::uint32_t>(hash_keyed(input, this->key));
    auto const counter_field = counter.value() & counter_mask;
    return hash << hash_shift | counter_field << retry_bits |
           static_cast<std::uint32_t>(retry_index);
}

bool refusal_responder::is_own_cookie(
    packet_view const& packet, std::uint32_t cookie, refusal_counter now) const
{
    auto const newest = now.value() + counters_ahead;
    auto const age = (newest - (cookie >> retry_bits)) & counter_mask;
    auto const retry_index = cookie & retry_mask;
    refusal_counter const made(newest - age);
    return this->make_cookie(packet, made, retry_index) == cookie;
}

std::optional<refusal_responder::recognised_flow> refusal_responder::recognise(
    packet_view const& packet, refusal_counter now) const
{
    if (!has_acknowledgement(packet))
        return std::nullopt;
    struct candidate
    {
        progress reached;
        std::uint32_t acknowledged;
    };
    constexpr std::array<candidate, 2> candidates = {
        candidate{progress::before_answer, acknowledged_opening},
        candidate{progress::after_answer, acknowledged_answer}};
    for (auto const& [reached, acknowledged] : candidates)
    {
        auto const cookie = packet.tcp_acknowledgement - acknowledged;
        if (this->is_own_cookie(packet, cookie, now))
            return recognised_flow{reached, cookie & retry_mask};
    }
    return std::nullopt;
}

std::vector<std::uint8_t> refusal_responder::answer_opening(
    packet_view const& packet,
    std::chrono::seconds retry_after,
    refusal_counter now) const
{
    auto const index = find_retry_index(retry_after);
    auto const option = make_mss_option();
    return write_tcp_answer(
        packet, {.sequence = this->make_cookie(packet, now, index),
                 // Data in the SYN stays unacknowledged: the caller sends it
                 // again in a segment that carries the cookie.
                 .acknowledgement = packet.tcp_sequence + 1,
                 .flags = tcp_flag::syn | tcp_flag::ack,
                 .window = opening_window,
                 .options = option});
}

} // namespace cairnhead
