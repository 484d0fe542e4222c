#include <poll.h>
#include <runtime/address_unavailable.hpp>
#include <runtime/receive_batch.hpp>
#include <runtime/send_batch.hpp>
#include <runtime/udp_socket.hpp>

// Last: its macro `Test` breaks headers of Abseil.
#include <criterion/criterion.h>

using namespace cairnhead;

namespace
{

/// Tests run beside each other, so each takes numbers of its own.
constexpr socket_address numbered_address(std::uint32_t number)
{
    return {ipv4_address(0x7f3f0000 + number), 6080};
}

constexpr int patience_milliseconds = 60'000;

void wait_for_datagram(udp_socket const& socket)
{
    pollfd waited{socket.descriptor(), POLLIN, 0};
    cr_assert_eq(::poll(&waited, 1, patience_milliseconds), 1);
}

} // namespace

Test(sockets, move_datagrams_in_batches)
{
    auto const first_address = numbered_address(1);
    auto const second_address = numbered_address(2);
    udp_socket const from(first_address);
    udp_socket const to(second_address);
    std::vector<std::uint8_t> const head{1, 2};
    std::vector<std::uint8_t> const body{3, 4, 5};
    send_batch sending;
    sending.add(second_address, head, body);
    sending.next_buffer() = {6};
    sending.add_written(second_address);
    cr_expect_eq(sending.flush(from.descriptor()).sent, 2);

    wait_for_datagram(to);
    receive_batch receiving;
    auto const received = receiving.receive(to.descriptor());
    cr_assert_eq(received.size(), 2);
    cr_expect_eq(received[0].bytes.size(), 5);
    cr_expect_eq(received[0].bytes[4], 5);
    cr_expect_eq(received[1].bytes[0], 6);
    cr_expect(received[0].source == first_address);
    cr_expect(!received[0].is_truncated);
    cr_expect(received[0].received_at <= wall_now());
}

// Symptom: one peer that cannot be reached holds up datagrams to all others.
// Sequence: a batch has a datagram that the kernel refuses, then a good one.
// Cause: sendmmsg stops at the first datagram that fails.
Test(sockets, send_on_after_a_refused_datagram)
{
    auto const first_address = numbered_address(3);
    auto const second_address = numbered_address(4);
    udp_socket const from(first_address);
    udp_socket const to(second_address);
    std::vector<std::uint8_t> const too_long(70'000);
    std::vector<std::uint8_t> const good{7};
    send_batch sending;
    sending.add(second_address, too_long, {});
    sending.add(second_address, good, {});
    auto const result = sending.flush(from.descriptor());
    cr_expect_eq(result.failed, 1);
    cr_expect_eq(result.sent, 1);
    wait_for_datagram(to);
    receive_batch receiving;
    cr_expect_eq(receiving.receive(to.descriptor()).size(), 1);
}

Test(sockets, report_a_datagram_that_does_not_fit)
{
    auto const first_address = numbered_address(5);
    auto const second_address = numbered_address(6);
    udp_socket const from(first_address);
    udp_socket const to(second_address);
    std::vector<std::uint8_t> const long_body(maximum_datagram_bytes + 1);
    send_batch sending;
    sending.add(second_address, long_body, {});
    cr_expect_eq(sending.flush(from.descriptor()).sent, 1);
    wait_for_datagram(to);
    receive_batch receiving;
    auto const received = receiving.receive(to.descriptor());
    cr_assert_eq(received.size(), 1);
    cr_expect(received[0].is_truncated);
}

Test(sockets, refuse_an_address_that_is_taken)
{
    auto const first_address = numbered_address(7);
    udp_socket const holder(first_address);
    try
    {
        udp_socket const second(first_address);
        cr_expect(false, "the address was bound twice");
    }
    catch (address_unavailable const& failure)
    {
        cr_expect(failure.address() == first_address);
        cr_expect_eq(failure.error_number(), EADDRINUSE);
    }
}
