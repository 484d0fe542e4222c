#include "ingest_samples.hpp"

#include <event/start_timeline.hpp>
#include <runtime/packet_ingest.hpp>
#include <runtime/waiting_openings.hpp>

// Last: its macro `Test` breaks headers of Abseil.
#include <criterion/criterion.h>

using namespace cairnhead;
using namespace cairnhead::ingest_samples;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};

} // namespace

// Guards against openings that are lost, reordered or made younger while a VM
// that has just started waits for the registry.
Test(waiting_openings, come_out_whole_and_in_order_with_their_age)
{
    waiting_openings waiting;
    auto bytes = encapsulate(make_opening());
    cr_assert(waiting.add(start, receive(fabric_address, bytes), 30ms));
    auto const whole = bytes;
    // The buffer is used again by the next batch.
    std::ranges::fill(bytes, 0);
    cr_assert(waiting.add(start + 5ms, receive(peer_address, bytes), 0ms));
    auto const first = waiting.take();
    cr_assert(first.has_value());
    cr_expect(first->bytes == whole);
    cr_expect(first->datagram().source.address == fabric_address);
    cr_expect(first->datagram().received_at == arrival_time);
    cr_expect(first->waited(start + 50ms) == 80ms);
    cr_expect(
        packet_ingest(fabric_settings())
            .read(first->datagram(), arrival_time)
            .index() == 0);
    auto const second = waiting.take();
    cr_expect(second.has_value() && second->bytes == bytes);
    cr_expect_not(waiting.take().has_value());
}

// Guards against openings that are held for longer than their callers wait
// until they retransmit them.
Test(waiting_openings, are_due_when_their_callers_retransmit)
{
    waiting_openings waiting;
    auto const bytes = encapsulate(make_opening());
    cr_assert(waiting.add(start, receive(fabric_address, bytes), 150ms));
    cr_assert(waiting.add(start, receive(fabric_address, bytes), 0ms));
    cr_expect_not(waiting.take_due(start + 49ms).has_value());
    cr_expect(waiting.take_due(start + 50ms).has_value());
    cr_expect_not(waiting.take_due(start + 50ms).has_value());
    cr_expect(waiting.take_due(start + longest_opening_wait).has_value());
}

// Guards against a flood of openings that exhausts the memory of a VM that
// waits for the registry.
Test(waiting_openings, are_bounded_in_number_and_bytes)
{
    for (std::size_t const length : {0, 60, 4000})
    {
        waiting_openings waiting;
        std::vector<std::uint8_t> const bytes(length);
        std::size_t held = 0;
        while (held < 5000 &&
               waiting.add(start, receive(fabric_address, bytes), 0ms))
            ++held;
        cr_expect_geq(held, 60);
        cr_expect_leq(held, 1024);
        cr_expect_leq(held * length, 256 * 1024);
        // What is taken makes room again.
        cr_expect(waiting.take().has_value());
        cr_expect(waiting.add(start, receive(fabric_address, bytes), 0ms));
    }
}
