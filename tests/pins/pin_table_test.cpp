#include <pins/pin_table.hpp>

#include <criterion/criterion.h>

using namespace cairnhead;

namespace
{

time_point const start{std::chrono::seconds(1'000)};

pin_claim claim(std::uint64_t flow, pin_state state)
{
    return {flow_id(flow), service_id(1), upstream_id(2), state};
}

pin_settings small_table()
{
    pin_settings settings;
    settings.maximum_pins = 3;
    return settings;
}

} // namespace

Test(pin_table, refuses_a_new_pin_when_full_and_keeps_all_others)
{
    // Symptom: a flood of new flows cuts established ones.
    // Sequence: the table is full and one more opening comes.
    // Cause: a table that evicts the oldest to make room.
    pin_table table(small_table());
    for (std::uint64_t flow = 1; flow <= 3; ++flow)
        cr_assert_not_null(table.insert(
            start, claim(flow, pin_state::established), flow_class::feed));
    cr_assert_null(
        table.insert(start, claim(4, pin_state::opening), flow_class::feed));
    for (std::uint64_t flow = 1; flow <= 3; ++flow)
        cr_assert_not_null(table.find(flow_id(flow)));
}

Test(pin_table, finds_the_right_pins_after_removals)
{
    pin_table table{pin_settings()};
    for (std::uint64_t flow = 0; flow < 1'000; ++flow)
        table.insert(
            start, claim(flow, pin_state::established), flow_class::form);
    for (std::uint64_t flow = 0; flow < 1'000; flow += 3)
        table.remove(flow_id(flow));
    for (std::uint64_t flow = 0; flow < 1'000; ++flow)
    {
        pin const* const found = table.find(flow_id(flow));
        cr_assert_eq(found == nullptr, flow % 3 == 0);
        if (found != nullptr)
            cr_assert_eq(found->flow.value(), flow);
    }
    cr_assert_eq(table.size(), 666U);
}

Test(pin_table, lets_pins_live_by_state_and_class)
{
    struct row
    {
        pin_state state;
        flow_class traffic;
        duration lifetime;
    };
    pin_settings const settings;
    row const rows[] = {
        {pin_state::opening, flow_class::feed, settings.opening_lifetime},
        {pin_state::closing, flow_class::feed, settings.closing_lifetime},
        {pin_state::established, flow_class::feed, settings.feed_lifetime},
        {pin_state::established, flow_class::form, settings.form_lifetime},
        {pin_state::established, flow_class::media, settings.media_lifetime},
    };
    for (row const& expected : rows)
    {
        pin_table table(settings);
        pin* const made =
            table.insert(start, claim(1, expected.state), expected.traffic);
        cr_assert(made->expires_at == start + expected.lifetime);
    }
}

Test(pin_table, does_not_renew_an_opening)
{
    // Symptom: the table fills with flows that never were.
    // Sequence: an attacker repeats each SYN again and again.
    // Cause: each repetition renewed the place that the first one took.
    pin_table table{pin_settings()};
    pin* const made =
        table.insert(start, claim(1, pin_state::opening), flow_class::form);
    time_point const before = made->expires_at;
    table.touch(start + 5s, *made);
    cr_assert(made->expires_at == before);
}

Test(pin_table, outlives_a_forged_reset)
{
    // Symptom: a feed stops in the middle.
    // Sequence: somebody forges a RST with the flow's addresses; the upstream
    // ignores it for its sequence number, and the caller goes on sending.
    // Cause: the pin was dropped at once.
    pin_table table{pin_settings()};
    pin* const made =
        table.insert(start, claim(1, pin_state::established), flow_class::feed);
    table.set_reset(start, *made);
    cr_assert_gt(
        made->expires_at.time_since_epoch().count(),
        start.time_since_epoch().count());
    time_point const closing_end = made->expires_at;
    table.touch(start + 1s, *made);
    cr_assert(made->expires_at > closing_end);
}

Test(pin_table, needs_at_most_64_bytes_a_pin_when_full)
{
    pin_settings const settings;
    pin_table const table(settings);
    cr_assert_leq(table.memory_bytes() / settings.maximum_pins, 64U);
}
