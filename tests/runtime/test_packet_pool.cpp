#include <runtime/packet_pool.hpp>

// Last: its macro `Test` breaks headers of Abseil.
#include <criterion/criterion.h>

using namespace cairnhead;

namespace
{

packet_view packet_to_port(std::uint16_t port)
{
    packet_view packet;
    packet.destination.port = port;
    return packet;
}

bool is_refused(packet_pool& pool, packet_token token)
{
    try
    {
        static_cast<void>(pool.take(token));
    }
    catch (unknown_packet_token const& refused)
    {
        return refused.token() == token;
    }
    return false;
}

} // namespace

Test(packet_pool, gives_each_packet_back_once)
{
    packet_pool pool;
    auto const first = pool.hold(packet_to_port(1));
    auto const second = pool.hold(packet_to_port(2));
    cr_expect_eq(pool.take(second).destination.port, 2);
    cr_expect_eq(pool.take(first).destination.port, 1);
    cr_expect_eq(pool.clear(), 0);
}

// Symptom: a caller's packet is sent twice, to two upstreams.
// Sequence: the reducer names one token in two effects.
// Cause: a pool that gives a packet back as often as it is asked.
Test(packet_pool, refuses_a_token_that_was_taken)
{
    packet_pool pool;
    auto const token = pool.hold(packet_to_port(1));
    static_cast<void>(pool.take(token));
    cr_expect(is_refused(pool, token));
}

// Symptom: a packet of one organisation goes to another's upstream.
// Sequence: an effect names a packet of an earlier batch, whose place in the
// pool holds a new packet by now.
// Cause: tokens that are reused from batch to batch.
Test(packet_pool, refuses_a_token_of_an_earlier_batch)
{
    packet_pool pool;
    auto const old = pool.hold(packet_to_port(1));
    cr_expect_eq(pool.clear(), 1, "one packet was left undecided");
    static_cast<void>(pool.hold(packet_to_port(2)));
    cr_expect(is_refused(pool, old));
}
