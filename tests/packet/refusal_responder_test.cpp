#include "sample_packets.hpp"

#include <criterion/criterion.h>
#include <packet/refusal_responder.hpp>
#include <string>

namespace cairnhead
{

namespace
{

using namespace samples;
using namespace std::chrono_literals;

constexpr refusal_counter now(26'500'000);
constexpr std::uint8_t fin = 0x01;
constexpr std::uint8_t rst = 0x04;
constexpr std::uint8_t ack = 0x10;
constexpr std::uint8_t psh = 0x08;
// What an acknowledgement of SYN, answer and FIN adds to the cookie.
constexpr std::uint32_t whole_answer = 1 + 92 + 1;

byte_vector const shared_key = from_hex("000102030405060708090a0b0c0d0e0f");

/// A caller's segment after its opening. Views stay with `bytes`.
struct segment
{
    byte_vector bytes;

    segment(
        std::uint32_t sequence,
        std::uint32_t acknowledgement,
        std::uint8_t flags,
        std::string_view payload = "")
        : bytes(from_hex(syn))
    {
        for (std::size_t index = 0; index < 4; ++index)
        {
            auto const shift = 24 - 8 * index;
            this->bytes[24 + index] =
                static_cast<std::uint8_t>(sequence >> shift);
            this->bytes[28 + index] =
                static_cast<std::uint8_t>(acknowledgement >> shift);
        }
        this->bytes[33] = flags;
        this->bytes.insert(this->bytes.end(), payload.begin(), payload.end());
        this->bytes[3] = static_cast<std::uint8_t>(this->bytes.size());
        fix_checksums(this->bytes);
    }

    [[nodiscard]] packet_view view() const
    {
        return read_sound(this->bytes);
    }
};

std::uint32_t
open(refusal_responder const& responder, std::chrono::seconds retry_after)
{
    auto const opening = from_hex(syn);
    auto const bytes = responder.answer(read_sound(opening), retry_after, now);
    cr_assert(bytes.has_value());
    // A reader of callers' packets refuses SYN+ACK, so its numbers are taken
    // from the bytes.
    std::uint32_t cookie = 0;
    for (std::size_t index = 24; index < 28; ++index)
        cookie = cookie << 8 | (*bytes)[index];
    return cookie;
}

std::string text_of(packet_view const& view)
{
    return {view.payload.begin(), view.payload.end()};
}

} // namespace

// The cookie is part of the protocol between VMs of different builds, so its
// bytes are fixed here. They were computed outside the project's code.
Test(refusal_responder, answers_an_opening_with_a_cookie)
{
    refusal_responder const responder(shared_key);
    auto const expected =
        from_hex("4500002c000040004006d486cb00710ac6336407"
                 "00509c4089672f43000003e960120ac8ce34000002040564");
    for (auto const text : {syn, data})
    {
        auto opening = from_hex(text);
        opening[27] = 0xe8;
        opening[33] = 0x02;
        fix_checksums(opening);
        auto const view = read_sound(opening);
        cr_expect(responder.answer(view, 7s, now) == expected);
        cr_expect(!responder.recognises(view, now));
    }
}

// Symptom: a refused caller sees a timeout or a cut answer. Sequence: packets
// of its flow reach different VMs, twice or out of order. Cause: a VM gives
// bytes or numbers that do not continue what another VM sent. Each row is
// answered by a responder that saw no packet before.
Test(refusal_responder, continues_a_dialogue_that_it_never_saw)
{
    struct dialogue_case
    {
        char const* name;
        std::uint32_t sequence;
        std::uint32_t acknowledged;
        std::uint8_t flags;
        std::string_view payload;
        /// Flags of the answer; zero for none.
        std::uint8_t answer;
        std::uint32_t acknowledges;
    };
    constexpr std::uint8_t whole = ack | psh | fin;
    dialogue_case const cases[] = {
        {"handshake", 1001, 1, ack, "", 0, 0},
        {"request", 1001, 1, ack | psh, "GET /", whole, 1006},
        {"request again", 1001, 1, ack | psh, "GET /", whole, 1006},
        {"second segment", 1006, 1, ack, "more", whole, 1010},
        {"request and FIN", 1001, 1, ack | fin, "GET /", whole, 1007},
        {"FIN before answer", 1006, 1, ack | fin, "", whole, 1007},
        {"answer received", 1006, whole_answer, ack, "", 0, 0},
        {"data after answer", 1006, whole_answer, ack, "more", ack, 1010},
        {"FIN after answer", 1006, whole_answer, ack | fin, "", ack, 1007},
        {"reset", 1006, 1, ack | rst, "", 0, 0},
    };
    auto const cookie = open(refusal_responder(shared_key), 10s);
    for (auto const& item : cases)
    {
        refusal_responder const responder(shared_key);
        segment const sent(
            item.sequence, cookie + item.acknowledged, item.flags,
            item.payload);
        cr_expect(responder.recognises(sent.view(), now), "%s", item.name);
        auto const bytes = responder.answer(sent.view(), 60s, now);
        cr_assert(bytes.has_value() == (item.answer != 0), "%s", item.name);
        if (!bytes)
            continue;
        auto const answer = read_sound(*bytes);
        cr_expect(answer.source == sent.view().destination);
        cr_expect(answer.destination == sent.view().source);
        cr_expect(answer.tcp_flags == item.answer, "%s", item.name);
        cr_expect(answer.tcp_sequence == cookie + item.acknowledged);
        cr_expect(answer.tcp_acknowledgement == item.acknowledges);
        std::string const expected =
            item.answer == whole ? "HTTP/1.1 503 Service Unavailable\r\n"
                                   "Retry-After:  10\r\n"
                                   "Content-Length: 0\r\n"
                                   "Connection: close\r\n\r\n"
                                 : "";
        cr_expect(text_of(answer) == expected, "%s", item.name);
    }
}

Test(refusal_responder, carries_the_retry_time_in_the_cookie)
{
    struct retry_case
    {
        std::chrono::seconds wanted;
        std::string_view line;
    };
    retry_case const cases[] = {
        {-1s, "Retry-After:   1\r\n"}, {0s, "Retry-After:   1\r\n"},
        {1s, "Retry-After:   1\r\n"},  {3s, "Retry-After:   5\r\n"},
        {21s, "Retry-After:  30\r\n"}, {60s, "Retry-After:  60\r\n"},
        {61s, "Retry-After: 120\r\n"}, {9999s, "Retry-After: 120\r\n"},
    };
    refusal_responder const responder(shared_key);
    for (auto const& [wanted, line] : cases)
    {
        segment const request(
            1001, open(responder, wanted) + 1, ack | psh, "GET /");
        auto const answer = responder.answer(request.view(), 0s, now);
        cr_assert(answer.has_value());
        auto const text = text_of(read_sound(*answer));
        cr_expect(text.find(line) != std::string::npos);
        cr_expect(text.size() == 92);
    }
}

// Symptom: a caller refused by one VM is ignored by the next, or a very old
// cookie still counts. Sequence: the VMs' clocks differ by up to a period, or
// a packet arrives late. Cause: the counter is compared without tolerance, or
// without a bound.
Test(refusal_responder, bounds_the_age_of_cookies)
{
    refusal_responder const responder(shared_key);
    segment const request(1001, open(responder, 10s) + 1, ack | psh, "GET /");
    for (int periods = -8; periods <= 8; ++periods)
    {
        refusal_counter const later(now.value() + periods);
        bool const is_valid = periods >= -1 && periods <= 2;
        cr_expect(responder.recognises(request.view(), later) == is_valid);
        auto const answer = responder.answer(request.view(), 10s, later);
        cr_expect(answer.has_value() == is_valid);
    }
}

// Symptom: an upstream's established flow is cut by a 503. Sequence: its pin
// is not found, and the responder is asked. Cause: an acknowledgement that is
// no cookie of this flow is taken for one.
Test(refusal_responder, leaves_flows_of_others_alone)
{
    refusal_responder const responder(shared_key);
    auto const cookie = open(responder, 10s);
    segment const request(1001, cookie + 1, ack | psh, "GET /");
    auto const expect_foreign =
        [](refusal_responder const& asked, byte_vector const& bytes)
    {
        auto const view = read_sound(bytes);
        cr_expect(!asked.recognises(view, now));
        cr_expect(!asked.answer(view, 10s, now).has_value());
    };
    for (std::uint32_t bit = 0; bit < 32; ++bit)
    {
        segment const damaged(
            1001, (cookie ^ 1U << bit) + 1, ack | psh, "GET /");
        expect_foreign(responder, damaged.bytes);
    }
    // Source address, destination address, source port, destination port.
    for (std::size_t const offset : {15, 19, 21, 23})
    {
        auto other_flow = request.bytes;
        other_flow[offset] ^= 1;
        fix_checksums(other_flow);
        expect_foreign(responder, other_flow);
    }
    auto other_key = shared_key;
    other_key[0] ^= 1;
    expect_foreign(refusal_responder(other_key), request.bytes);
    expect_foreign(responder, segment(1001, cookie + 1, rst).bytes);
    expect_foreign(responder, segment(1001, cookie, ack, "GET /").bytes);
    expect_foreign(responder, from_hex(datagram));
}

} // namespace cairnhead
