#include "samples.hpp"

#include <criterion/criterion.h>

using namespace cairnhead;
using namespace cairnhead::wire_samples;

namespace
{

constexpr std::size_t maximum_header_bytes = 100;
std::vector<std::uint8_t> const packet(1400, 0x5a);

std::vector<std::uint8_t> encoded(peer_frame const& frame)
{
    std::vector<std::uint8_t> bytes;
    encode_frame(frame, packet, bytes);
    return bytes;
}

std::vector<std::uint8_t> changed(std::size_t offset, std::uint8_t value)
{
    auto bytes = encoded(largest_frame());
    bytes[offset] = value;
    return bytes;
}

} // namespace

Test(frame_codec, every_shape_survives_the_round_trip)
{
    std::vector<peer_frame> frames{{}, largest_frame()};
    for (std::uint8_t role = 0; role <= 4; ++role)
    {
        peer_frame frame = frame_with(role);
        frame.role = static_cast<frame_role>(role);
        if (role % 2 == 0)
            frame.claim.reset();
        frames.push_back(frame);
    }
    for (auto const& frame : frames)
    {
        auto const bytes = encoded(frame);
        auto const decoded = decode_frame(bytes);
        cr_assert(decoded.frame == frame);
        cr_assert(std::ranges::equal(decoded.packet, packet));
        cr_assert_eq(decoded.packet.data() + packet.size(), &*bytes.end());
    }
}

Test(frame_codec, the_header_is_small)
{
    peer_frame opening{.sender = vm_id(1), .claim = make_pin(0), .visited = {}};
    auto const usual = encoded(opening).size() - packet.size();
    auto const largest = encoded(largest_frame()).size() - packet.size();
    cr_log_info("frame header: %zu bytes, at most %zu", usual, largest);
    cr_assert_leq(largest, maximum_header_bytes);
}

Test(frame_codec, malformed_frames_have_typed_reasons)
{
    // Symptom: a forwarded packet of another release stops the VM, or makes
    // it read a caller's bytes as part of the header.
    // Sequence: a peer sends a frame with other lengths or enumerations.
    // Cause: a decoder that trusts them.
    constexpr std::size_t segments_at = 0;
    constexpr std::size_t words_at = 4;
    constexpr std::size_t root_at = 8;
    constexpr std::size_t role_at = 20;
    constexpr std::size_t state_at = 23;
    constexpr std::size_t list_pointer_at = 40;
    auto const whole = encoded(largest_frame());
    auto const first = [&](std::size_t count)
    {
        return std::vector(whole.begin(), whole.begin() + long(count));
    };

    // Without the words of data, a list of seven finds room.
    std::vector<std::uint8_t> seven_visited(8 + 6 * 8);
    seven_visited[words_at] = 6;
    seven_visited[root_at + 6] = 1;
    seven_visited[root_at + 8] = 1;
    seven_visited[root_at + 12] = (7 << 3) | 4;

    struct malformed_case
    {
        char const* name;
        std::vector<std::uint8_t> bytes;
        malformed_reason reason;
    };
    malformed_case const cases[] = {
        {"empty", {}, malformed_reason::truncated},
        {"table cut", first(7), malformed_reason::truncated},
        {"segment cut", first(40), malformed_reason::truncated},
        {"two segments", changed(segments_at, 1), malformed_reason::not_capnp},
        {"long segment", changed(words_at, 9), malformed_reason::too_large},
        {"no segment", changed(words_at, 0), malformed_reason::not_capnp},
        {"root beyond the end", changed(root_at, 0xfc),
         malformed_reason::not_capnp},
        {"unknown role", changed(role_at, 5), malformed_reason::out_of_range},
        {"unknown state", changed(state_at, 3), malformed_reason::out_of_range},
        {"list beyond the end", changed(list_pointer_at, 0x21),
         malformed_reason::not_capnp},
        {"list longer than the segment",
         changed(list_pointer_at + 4, (7 << 3) | 4),
         malformed_reason::not_capnp},
        {"seven visited VMs", seven_visited, malformed_reason::out_of_range},
    };
    for (auto const& item : cases)
    {
        auto const reason = reason_of(
            [&]
            {
                return decode_frame(item.bytes);
            });
        cr_expect(
            reason == item.reason, "%s: %s", item.name,
            reason ? to_text(*reason).data() : "accepted");
    }
}
