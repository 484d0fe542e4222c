#include "ingest_samples.hpp"

#include <runtime/packet_ingest.hpp>
#include <runtime/peer_ingest.hpp>

// Last: its macro `Test` breaks headers of Abseil.
#include <criterion/criterion.h>

using namespace cairnhead;
using namespace cairnhead::ingest_samples;

namespace
{

constexpr vm_id peer(peer_address.value());
constexpr wall_time just_after = arrival_time + std::chrono::nanoseconds(1);

packet_ingest make_fabric_reader()
{
    fabric_settings settings;
    settings.sources = {fabric_address};
    return packet_ingest(settings);
}

void expect_fault(
    char const* what, auto const& result, datagram_fault const& expected)
{
    auto const* const fault = std::get_if<datagram_fault>(&result);
    cr_expect(fault != nullptr, "%s was taken in", what);
    cr_expect(fault != nullptr && *fault == expected, "%s: wrong fault", what);
}

} // namespace

Test(ingest, reads_what_the_fabric_sends)
{
    auto const datagram = encapsulate(make_opening());
    auto const result = make_fabric_reader().read(
        receive(fabric_address, datagram), arrival_time);
    auto const* const packet = std::get_if<packet_view>(&result);
    cr_assert(packet != nullptr);
    cr_expect(packet->phase == packet_phase::opening);
    cr_expect_eq(packet->destination.port, 8443);
}

// Symptom: anyone on the network can send packets into a service.
// Sequence: datagrams that are not the fabric's, or not whole, arrive.
// Cause: a reader that trusts what it gets.
Test(ingest, refuses_bad_datagrams_from_the_fabric_side)
{
    auto const reader = make_fabric_reader();
    auto const good = encapsulate(make_opening());
    auto bad_checksum = good;
    bad_checksum.back() ^= 1;
    auto cut_off = receive(fabric_address, good);
    cut_off.is_truncated = true;
    expect_fault(
        "a stranger's packet",
        reader.read(receive(stranger_address, good), arrival_time),
        transfer_fault::unknown_source);
    expect_fault(
        "a cut packet", reader.read(cut_off, arrival_time),
        transfer_fault::too_long);
    expect_fault(
        "an empty datagram",
        reader.read(receive(fabric_address, {}), arrival_time),
        packet_fault::truncated);
    expect_fault(
        "a wrong checksum",
        reader.read(receive(fabric_address, bad_checksum), arrival_time),
        packet_fault::bad_transport_checksum);
}

// Symptom: a request runs long after its caller gave it up.
// Sequence: the process is paused with packets in its sockets, wakes up, and
// reads them.
// Cause: a reader that does not look at the time of arrival.
Test(ingest, refuses_what_waited_too_long)
{
    auto const keys = make_authenticator(5);
    auto const packet = encapsulate(make_opening());
    auto const message = make_ping(keys, peer);
    expect_fault(
        "an old packet",
        make_fabric_reader().read(receive(fabric_address, packet), just_after),
        transfer_fault::too_old);
    expect_fault(
        "an old message",
        peer_ingest(keys).read(receive(peer_address, message), just_after),
        transfer_fault::too_old);
}

Test(ingest, reads_what_peers_send)
{
    auto const keys = make_authenticator(5);
    peer_ingest const reader(keys);
    auto const message = make_ping(keys, peer);
    auto const frame = make_frame(keys, peer, make_opening());
    auto const read_message =
        reader.read(receive(peer_address, message), arrival_time);
    cr_expect(std::holds_alternative<control_message>(read_message));
    auto const read_frame =
        reader.read(receive(peer_address, frame), arrival_time);
    auto const* const handed_over = std::get_if<framed_packet>(&read_frame);
    cr_assert(handed_over != nullptr);
    cr_expect(handed_over->packet.phase == packet_phase::opening);
}

// Symptom: a VM believes claims that no VM made.
// Sequence: datagrams without a right tag, or in another VM's name, arrive.
// Cause: a reader that takes the name inside for the sender.
Test(ingest, refuses_bad_datagrams_from_peers)
{
    auto const keys = make_authenticator(5);
    auto const other_keys = make_authenticator(6);
    peer_ingest const reader(keys);
    vm_id const stranger(stranger_address.value());
    struct bad_datagram
    {
        char const* what;
        byte_vector bytes;
        datagram_fault fault;
    };
    byte_vector unknown_kind(authenticator::prefix_size);
    sign(unknown_kind, keys, static_cast<datagram_kind>(9));
    byte_vector no_message(authenticator::prefix_size + 3);
    sign(no_message, keys, datagram_kind::control);
    std::vector<bad_datagram> const table{
        {"nothing", {}, malformed_reason::not_authentic},
        {"another key's message", make_ping(other_keys, peer),
         malformed_reason::not_authentic},
        {"a message in another's name", make_ping(keys, stranger),
         transfer_fault::sender_mismatch},
        {"a frame in another's name",
         make_frame(keys, stranger, make_opening()),
         transfer_fault::sender_mismatch},
        {"a frame without a packet", make_frame(keys, peer, {}),
         packet_fault::truncated},
        {"a kind of a later release", unknown_kind,
         malformed_reason::unknown_kind},
        {"three bytes as a message", no_message, malformed_reason::not_capnp},
    };
    for (bad_datagram const& bad : table)
    {
        expect_fault(
            bad.what,
            reader.read(receive(peer_address, bad.bytes), arrival_time),
            bad.fault);
    }
}

Test(ingest, numbers_every_fault_by_its_name)
{
    auto const names = fault_names();
    std::vector<datagram_fault> const faults{
        transfer_fault::unknown_source, transfer_fault::unknown_token,
        packet_fault::truncated,        packet_fault::oversized,
        malformed_reason::truncated,    malformed_reason::too_large};
    for (datagram_fault const& fault : faults)
        cr_expect(names.at(index_of(fault)) == to_text(fault));
}
