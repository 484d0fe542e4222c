#include "samples.hpp"

#include <criterion/criterion.h>

using namespace cairnhead;
using namespace cairnhead::wire_samples;

Test(control_codec, every_body_survives_the_round_trip)
{
    for (auto const& body : all_bodies())
    {
        control_message const sent{vm_id(0x7f000101), body};
        std::vector<std::uint8_t> bytes{1, 2, 3};
        encode_control(sent, bytes);
        auto const received =
            decode_control(std::span<std::uint8_t const>(bytes).subspan(3));
        cr_assert(received == sent, "kind %zu", body.index());
    }
}

Test(control_codec, messages_stay_within_the_control_budget)
{
    auto const with_updates =
        encoded(ping{7, 0x1122334455667788, make_list(8, make_update)});
    auto const empty = encoded(pin_batch{});
    auto const with_pins = encoded(pin_batch{make_list(40, make_pin)});
    cr_log_info(
        "ping with 8 updates: %zu bytes; 40 pins: %zu bytes",
        with_updates.size(), with_pins.size());
    cr_assert_lt(with_updates.size(), 220);
    cr_assert_leq(with_pins.size() - empty.size(), 40 * 24);
    cr_assert_lt(with_pins.size(), maximum_control_bytes);
}

Test(control_codec, malformed_inputs_have_typed_reasons)
{
    // Symptom: a VM of a later release, or a damaged datagram, stops a VM or
    // makes it act on a value that no switch knows.
    // Sequence: a peer sends bytes that this release's codec did not write.
    // Cause: a decoder that trusts lengths and enumerations.
    auto const whole = encoded(ping{1, 2, make_list(3, make_update)});
    auto cut = whole;
    cut.resize(cut.size() / 2);
    auto unknown_status = make_update(0);
    unknown_status.status = static_cast<member_status>(9);
    auto unknown_state = make_pin(0);
    unknown_state.state = static_cast<pin_state>(3);
    auto const unknown_kind = static_cast<listing_kind>(2);
    auto unknown_condition = make_report(0);
    unknown_condition.condition = static_cast<upstream_condition>(4);
    auto unknown_outcome = make_observation(0);
    unknown_outcome.outcome = static_cast<request_outcome>(3);
    auto without_upstream = make_observation(0);
    without_upstream.upstream = upstream_tag();
    auto more_than_all = make_rating(0);
    more_than_all.short_permille = 1001;
    auto of_nobody = make_rating(0);
    of_nobody.upstream = upstream_tag();
    auto const too_many_ratings = std::vector<announced_rating>(201);
    auto const too_many = std::vector<member_update>(201);

    // A table that claims a megabyte in one segment, and runs of 256 zero
    // words in two bytes each.
    std::vector<std::uint8_t> unpacking{0x40, 0x02};
    while (unpacking.size() + 2 < maximum_control_bytes)
        unpacking.insert(unpacking.end(), {0x00, 0xff});

    struct malformed_case
    {
        char const* name;
        std::vector<std::uint8_t> bytes;
        malformed_reason reason;
    };
    malformed_case const cases[] = {
        {"empty", {}, malformed_reason::truncated},
        {"cut in half", cut, malformed_reason::not_capnp},
        {"text",
         {'G', 'E', 'T', ' ', '/', ' ', 'H', 'T'},
         malformed_reason::not_capnp},
        {"longer than a datagram",
         std::vector<std::uint8_t>(maximum_control_bytes + 1, 1),
         malformed_reason::too_large},
        {"words that are all literal",
         std::vector<std::uint8_t>(maximum_control_bytes, 0xff),
         malformed_reason::not_capnp},
        {"zeros that unpack to a megabyte", unpacking,
         malformed_reason::not_capnp},
        {"unknown kind of message",
         // One word of table, a root pointer to one word of data, and in it
         // the discriminant 64.
         {0x10, 0x02, 0x10, 0x01, 0x10, 0x40},
         malformed_reason::unknown_kind},
        {"unknown member status", encoded(ping{1, 2, {unknown_status}}),
         malformed_reason::out_of_range},
        {"unknown pin state", encoded(pin_batch{{unknown_state}}),
         malformed_reason::out_of_range},
        {"unknown kind of listing", encoded(member_listing{unknown_kind, {}}),
         malformed_reason::out_of_range},
        {"unknown upstream condition",
         encoded(upstream_report_listing{{unknown_condition}}),
         malformed_reason::out_of_range},
        {"unknown outcome of a request",
         encoded(upstream_observation_listing{{unknown_outcome}}),
         malformed_reason::out_of_range},
        {"an observation of no upstream",
         encoded(upstream_observation_listing{{without_upstream}}),
         malformed_reason::out_of_range},
        {"observations sampled never",
         encoded(upstream_observation_listing{{make_observation(0)}, 0, 1000}),
         malformed_reason::out_of_range},
        {"observations sampled more than always",
         encoded(upstream_observation_listing{{}, 1000, 1001}),
         malformed_reason::out_of_range},
        {"more short answers than answers",
         encoded(upstream_rating_listing{vm_id(1), 1, {more_than_all}}),
         malformed_reason::out_of_range},
        {"a rating of no upstream",
         encoded(upstream_rating_listing{vm_id(1), 1, {of_nobody}}),
         malformed_reason::out_of_range},
        {"more ratings than a datagram holds",
         encoded(upstream_rating_listing{vm_id(1), 1, too_many_ratings}),
         malformed_reason::too_large},
        {"a list longer than a datagram holds",
         encoded(member_listing{listing_kind::request, too_many}),
         malformed_reason::too_large},
    };
    for (auto const& item : cases)
    {
        auto const reason = reason_of(
            [&]
            {
                return decode_control(item.bytes);
            });
        cr_expect(
            reason == item.reason, "%s: %s", item.name,
            reason ? to_text(*reason).data() : "accepted");
    }
}
