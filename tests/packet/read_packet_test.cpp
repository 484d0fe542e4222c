#include "sample_packets.hpp"

#include <criterion/criterion.h>
#include <random>

namespace cairnhead
{

namespace
{

using namespace samples;

constexpr std::size_t flags_at = 33;

struct edit
{
    std::size_t offset;
    std::uint8_t value;
};

enum class checksums
{
    kept,
    corrected,
};

struct fault_case
{
    char const* name;
    std::string_view packet;
    packet_fault fault;
    std::vector<edit> edits;
    checksums after = checksums::corrected;
};

byte_vector apply(fault_case const& item)
{
    auto packet = from_hex(item.packet);
    for (auto const& [offset, value] : item.edits)
        packet[offset] = value;
    if (item.after == checksums::corrected)
        fix_checksums(packet);
    return packet;
}

std::string_view name_of(packet_result const& result)
{
    auto const* const fault = std::get_if<packet_fault>(&result);
    return fault == nullptr ? "no fault" : to_text(*fault);
}

void expect_fault(
    char const* name, packet_result const& result, packet_fault expected)
{
    auto const found = name_of(result);
    cr_expect(
        found == to_text(expected), "%s: %s", name, std::string(found).c_str());
}

byte_vector encapsulate(std::span<std::uint8_t const> packet)
{
    byte_vector datagram(gue_header_size);
    write_gue_header(datagram);
    datagram.insert(datagram.end(), packet.begin(), packet.end());
    return datagram;
}

bool is_inside(
    std::span<std::uint8_t const> part, std::span<std::uint8_t const> whole)
{
    return part.data() >= whole.data() &&
           part.data() + part.size() <= whole.data() + whole.size();
}

// Each edits a sound packet; its fault must be found first.
std::vector<fault_case> const fault_cases = {
    {"version 6", syn, packet_fault::not_ipv4, {{0, 0x65}}},
    {"header of 16 bytes", syn, packet_fault::not_ipv4, {{0, 0x44}}},
    {"IP option", syn, packet_fault::ip_options, {{0, 0x46}}},
    {"first fragment", syn, packet_fault::fragment, {{6, 0x20}}},
    {"last fragment", datagram, packet_fault::fragment, {{7, 1}}},
    {"length above", syn, packet_fault::truncated, {{3, 41}}},
    {"length below", syn, packet_fault::length_mismatch, {{3, 39}}},
    {"length below header", syn, packet_fault::length_mismatch, {{3, 19}}},
    {"ICMP", syn, packet_fault::unsupported_protocol, {{9, 1}}},
    {"IPv4 header damaged",
     syn,
     packet_fault::bad_ip_checksum,
     {{8, 63}},
     checksums::kept},
    {"TCP payload damaged",
     data,
     packet_fault::bad_transport_checksum,
     {{44, 0}},
     checksums::kept},
    {"UDP payload damaged",
     datagram,
     packet_fault::bad_transport_checksum,
     {{30, 0}},
     checksums::kept},
    {"TCP header of 16", syn, packet_fault::bad_tcp_header, {{32, 0x40}}},
    {"TCP header of 24", syn, packet_fault::bad_tcp_header, {{32, 0x60}}},
    {"SYN+ACK", syn, packet_fault::bad_tcp_header, {{flags_at, 0x12}}},
    {"SYN+FIN", syn, packet_fault::bad_tcp_header, {{flags_at, 0x03}}},
    {"SYN+RST", syn, packet_fault::bad_tcp_header, {{flags_at, 0x06}}},
    {"no flags", syn, packet_fault::bad_tcp_header, {{flags_at, 0x00}}},
    {"FIN alone", syn, packet_fault::bad_tcp_header, {{flags_at, 0x01}}},
    {"PSH alone", syn, packet_fault::bad_tcp_header, {{flags_at, 0x08}}},
    {"UDP length 7", datagram, packet_fault::bad_udp_header, {{25, 7}}},
    {"UDP length below", datagram, packet_fault::length_mismatch, {{25, 10}}},
    {"UDP length above", datagram, packet_fault::length_mismatch, {{25, 12}}},
};

} // namespace

// Symptom: a malformed packet reaches an upstream, or its flow is taken for
// another. Sequence: the fabric delivers a damaged or crafted packet. Cause:
// a field is believed that contradicts another one.
Test(read_packet, names_each_fault)
{
    for (auto const& item : fault_cases)
        expect_fault(item.name, read_packet(apply(item)), item.fault);
}

// Symptom: bytes behind the buffer are read as ports or flags. Sequence: a
// datagram arrives short, with or without an IPv4 header that agrees. Cause: a
// field is read before the size is checked.
Test(read_packet, refuses_every_shorter_size)
{
    struct size_case
    {
        std::string_view packet;
        std::size_t headers_size;
    };
    for (auto const& [text, headers_size] :
         {size_case{syn, 40}, size_case{data, 40}, size_case{datagram, 28}})
    {
        auto const packet = from_hex(text);
        for (std::size_t size = 0; size < packet.size(); ++size)
        {
            byte_vector part(packet.begin(), packet.begin() + size);
            expect_fault("cut", read_packet(part), packet_fault::truncated);
            if (size < 20 || size >= headers_size)
                continue;
            part[3] = static_cast<std::uint8_t>(size);
            fix_header_checksum(part);
            expect_fault("short", read_packet(part), packet_fault::truncated);
        }
    }
}

Test(read_packet, refuses_what_no_encapsulation_holds)
{
    byte_vector const packet(65'504);
    expect_fault("oversized", read_packet(packet), packet_fault::oversized);
    auto const largest = std::span(packet).first(65'503);
    expect_fault("zeros", read_packet(largest), packet_fault::not_ipv4);
}

Test(read_packet, finds_the_phase)
{
    struct phase_case
    {
        std::string_view packet;
        std::uint8_t flags;
        packet_phase phase;
    };
    phase_case const cases[] = {
        {syn, 0x02, packet_phase::opening},
        {syn, 0xc2, packet_phase::opening},
        {data, 0x02, packet_phase::opening_with_data},
        {data, 0x18, packet_phase::ongoing},
        {syn, 0x10, packet_phase::ongoing},
        {data, 0x11, packet_phase::closing},
        {syn, 0x04, packet_phase::reset},
        {syn, 0x15, packet_phase::reset},
    };
    for (auto const& item : cases)
    {
        auto packet = from_hex(item.packet);
        packet[flags_at] = item.flags;
        fix_checksums(packet);
        cr_expect(read_sound(packet).phase == item.phase);
    }
}

Test(read_packet, reads_tcp_fields)
{
    auto const packet = from_hex(data);
    auto const view = read_sound(packet);
    cr_expect(view.source.address == ipv4_address(0xc6336407));
    cr_expect(view.destination.address == ipv4_address(0xcb00710a));
    cr_expect(view.destination.protocol == transport_protocol::tcp);
    cr_expect(view.source.port == 40000 && view.destination.port == 80);
    cr_expect(view.tcp_sequence == 1001 && view.tcp_acknowledgement == 5001);
    cr_expect(view.tcp_flags == 0x18 && view.payload.size() == 5);
    cr_expect(view.bytes.data() == packet.data());
    cr_expect(view.bytes.size() == packet.size());
}

Test(read_packet, reads_udp_with_and_without_checksum)
{
    auto packet = from_hex(datagram);
    for (int round = 0; round < 2; ++round)
    {
        auto const view = read_sound(packet);
        cr_expect(view.phase == packet_phase::datagram);
        cr_expect(view.source.port == 5353 && view.destination.port == 4433);
        cr_expect(view.destination.protocol == transport_protocol::udp);
        cr_expect(view.payload.size() == 3);
        packet[26] = packet[27] = 0;
    }
}

Test(read_encapsulated, checks_the_gue_header)
{
    struct gue_case
    {
        edit change;
        packet_fault fault;
    };
    gue_case const cases[] = {
        {{0, 0x40}, packet_fault::gue_version},
        {{0, 0x80}, packet_fault::not_gue},
        {{0, 0xc0}, packet_fault::not_gue},
        {{0, 0x20}, packet_fault::gue_control},
        {{0, 0x01}, packet_fault::gue_flags},
        {{2, 0x80}, packet_fault::gue_flags},
        {{3, 0x01}, packet_fault::gue_flags},
        {{1, 41}, packet_fault::gue_protocol},
        {{4, 0x65}, packet_fault::not_ipv4},
    };
    auto const sound = encapsulate(from_hex(syn));
    cr_expect(name_of(read_encapsulated(sound)) == "no fault");
    for (auto const& [change, fault] : cases)
    {
        auto changed = sound;
        changed[change.offset] = change.value;
        expect_fault("GUE", read_encapsulated(changed), fault);
    }
    for (std::size_t size = 0; size < gue_header_size; ++size)
    {
        auto const part = std::span(sound).first(size);
        expect_fault("cut", read_encapsulated(part), packet_fault::truncated);
    }
}

// Expected values by a separate SipHash-2-4 that gives the reference vector.
Test(hash_flow, is_siphash_of_protocol_addresses_and_ports)
{
    byte_vector key(16);
    for (std::size_t index = 0; index < key.size(); ++index)
        key[index] = static_cast<std::uint8_t>(index);
    auto const opening = from_hex(syn);
    auto const later = from_hex(data);
    auto const other = from_hex(datagram);
    auto const expected = flow_id(0xcb5a2c8329e4c229);
    cr_expect(hash_flow(read_sound(opening), key) == expected);
    cr_expect(hash_flow(read_sound(later), key) == expected);
    auto const other_flow = hash_flow(read_sound(other), key);
    cr_expect(other_flow == flow_id(0x06fc9de8e75b4d70));
    key[15] ^= 1;
    cr_expect(hash_flow(read_sound(opening), key) != expected);
}

// Symptom: a crash or a read outside the datagram. Sequence: a caller sends
// arbitrary bytes. Cause: a length from the packet is used unchecked. Each
// copy is allocated at its exact size, so AddressSanitizer sees one byte over.
Test(read_encapsulated, stays_inside_mutated_datagrams)
{
    constexpr int rounds = 200'000;
    std::mt19937 random(20'240'611);
    std::string_view const samples[] = {syn, data, datagram};
    int sound = 0;
    for (int round = 0; round < rounds; ++round)
    {
        auto bytes = from_hex(samples[random() % 3]);
        for (auto edits = random() % 4; edits > 0; --edits)
            bytes[random() % bytes.size()] ^=
                static_cast<std::uint8_t>(1U << random() % 8);
        if (random() % 2 == 0)
            fix_checksums(bytes);
        auto whole = encapsulate(bytes);
        if (random() % 4 == 0)
            whole.resize(random() % (whole.size() + 8));
        byte_vector const exact(whole.begin(), whole.end());
        auto const result = read_encapsulated(exact);
        auto const* const view = std::get_if<packet_view>(&result);
        if (view == nullptr)
            continue;
        ++sound;
        cr_assert(is_inside(view->bytes, exact));
        cr_assert(is_inside(view->payload, view->bytes));
    }
    cr_expect(sound > rounds / 10 && sound < rounds);
}

} // namespace cairnhead
