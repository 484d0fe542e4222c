#include <platform/tagged_datagram.hpp>

#include <algorithm>
#include <criterion/criterion.h>

using namespace cairnhead;

namespace
{

using byte_vector = std::vector<std::uint8_t>;

constexpr std::size_t flags_at = 12;
constexpr std::size_t length_at = 25;
constexpr std::size_t header_bytes = 31;

/// A caller's opening, 100.64.0.7:40001 to 198.18.0.1:443, as the platform
/// describes it.
byte_vector const example_opening = {
    0x00, 0x00, 0x00, 0x00, 0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00,
    0x00, 0x02, 0x64, 0x40, 0x00, 0x07, 0x01, 0xbb, 0x9c, 0x41, 0xc6,
    0x12, 0x00, 0x01, 0x00, 0x00, 0xa1, 0xb2, 0xc3, 0xd5};

/// The platform's example of a reset that answers it.
byte_vector const example_reset = {
    0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
    0x00, 0x08, 0xc6, 0x12, 0x00, 0x01, 0x9c, 0x41, 0x01, 0xbb, 0x64,
    0x40, 0x00, 0x07, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00};

byte_vector make_datagram(std::uint8_t flags, std::size_t data)
{
    byte_vector bytes = example_opening;
    bytes[flags_at] = flags;
    bytes[length_at] = static_cast<std::uint8_t>(data >> 8);
    bytes[length_at + 1] = static_cast<std::uint8_t>(data);
    bytes.resize(header_bytes + data, 0x5a);
    return bytes;
}

packet_view read_sound(byte_vector const& bytes)
{
    auto const result = read_tagged_datagram(bytes);
    auto const* const view = std::get_if<packet_view>(&result);
    cr_assert(view != nullptr);
    return *view;
}

} // namespace

Test(tagged_datagram, reads_the_example)
{
    packet_view const read = read_sound(example_opening);
    endpoint const caller{ipv4_address(0x64400007), 40001};
    endpoint const route{ipv4_address(0xc6120001), 443};
    cr_expect(read.source == caller);
    cr_expect(read.destination == route);
    cr_expect(read.phase == packet_phase::opening);
    cr_expect_eq(read.tcp_sequence, 0x11223344);
    cr_expect_eq(read.tcp_acknowledgement, 0);
    cr_expect_eq(read.tcp_flags, 2);
    cr_expect(read.tag == upstream_tag(0));
    cr_expect(read.payload.empty());
    cr_expect_eq(read.bytes.size(), header_bytes);
}

Test(tagged_datagram, reads_each_phase)
{
    struct table_entry
    {
        std::uint8_t flags;
        std::size_t data;
        packet_phase phase;
    };
    table_entry const table[] = {
        {2, 0, packet_phase::opening},
        {2, 5, packet_phase::opening_with_data},
        {2 | 64, 0, packet_phase::opening},
        {128, 0, packet_phase::ongoing},
        {128, 1200, packet_phase::ongoing},
        {0, 1, packet_phase::ongoing},
        {64, 0, packet_phase::ongoing},
        {16 | 128, 0, packet_phase::closing},
        {16, 7, packet_phase::closing},
        {8, 0, packet_phase::reset},
        {8 | 16 | 128, 0, packet_phase::reset},
        {8 | 2, 0, packet_phase::reset},
    };
    for (auto const& [flags, data, phase] : table)
    {
        packet_view const read = read_sound(make_datagram(flags, data));
        cr_expect(read.phase == phase, "flags %d, %zu", flags, data);
        cr_expect_eq(read.payload.size(), data);
    }
}

Test(tagged_datagram, refuses_bad_datagrams)
{
    // Symptom: bytes beyond the datagram are read, or an upstream gets what
    // no caller sent. Sequence: anyone sends any datagram to the VM's port.
    // Cause: lengths and flags taken on trust.
    auto const with_length = [](std::uint16_t length)
    {
        byte_vector bytes = make_datagram(128, 10);
        bytes[length_at] = static_cast<std::uint8_t>(length >> 8);
        bytes[length_at + 1] = static_cast<std::uint8_t>(length);
        return bytes;
    };
    struct table_entry
    {
        byte_vector bytes;
        packet_fault fault;
    };
    table_entry const table[] = {
        {{}, packet_fault::truncated},
        {byte_vector(header_bytes - 1), packet_fault::truncated},
        {make_datagram(128, 1201), packet_fault::oversized},
        {make_datagram(128, 60'000), packet_fault::oversized},
        {with_length(9), packet_fault::length_mismatch},
        {with_length(11), packet_fault::length_mismatch},
        {with_length(0), packet_fault::length_mismatch},
        {with_length(0xffff), packet_fault::length_mismatch},
        {make_datagram(2 | 128, 0), packet_fault::bad_tcp_header},
        {make_datagram(2 | 128 | 8, 0), packet_fault::bad_tcp_header},
        {make_datagram(2 | 128 | 64, 3), packet_fault::bad_tcp_header},
    };
    for (auto const& [bytes, fault] : table)
    {
        auto const result = read_tagged_datagram(bytes);
        auto const* const found = std::get_if<packet_fault>(&result);
        cr_expect(
            found != nullptr && *found == fault, "%s", to_text(fault).data());
    }
}

Test(tagged_datagram, names_the_instance_and_writes_only_the_tag)
{
    // Symptom: a host gets a packet that its sender did not write so.
    // Sequence: any packet passes. Cause: a byte outside the echo is written.
    for (std::size_t const data : {0, 1, 1200})
    {
        byte_vector const packet = make_datagram(128, data);
        byte_vector expected = {0x01, 0x02, 0x03, 0x04, 0x05, 0x06,
                                0x07, 0x08, 0xa0, 0xb0, 0xc0, 0xd0};
        expected.resize(8 + packet.size());
        std::copy(packet.begin() + 4, packet.end(), expected.begin() + 12);
        byte_vector out(5, 0xee);
        write_tagged_datagram(
            packet, instance_number(0x0102030405060708),
            upstream_tag(0xa0b0c0d0), out);
        cr_expect(out == expected, "%zu", data);
        byte_vector const changed(out.begin() + 8, out.end());
        cr_expect(read_sound(changed).tag == upstream_tag(0xa0b0c0d0));
    }
}

Test(tagged_datagram, a_reset_lies_within_reach_of_the_callers_acknowledgement)
{
    // Symptom: a caller ignores the reset of its flow and waits. Sequence: it
    // has acknowledged data; its route goes. Cause: the reset's number is not
    // near the last acknowledgement, where the caller takes it.
    byte_vector out(200, 0xee);
    write_tagged_reset(read_sound(example_opening), out);
    cr_expect(out == example_reset);

    byte_vector opened = make_datagram(128, 10);
    byte_vector expected = example_reset;
    for (std::size_t index = 0; index < 4; ++index)
    {
        auto const digit = static_cast<std::uint8_t>(0xc1 + index);
        opened[8 + index] = digit;
        expected[4 + index] = digit;
    }
    write_tagged_reset(read_sound(opened), out);
    cr_expect(out == expected);
}
