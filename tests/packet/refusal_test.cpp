#include "sample_packets.hpp"

#include <criterion/criterion.h>
#include <packet/refusal.hpp>

namespace cairnhead
{

using namespace samples;

// Symptom: the caller waits for a timeout instead of seeing the refusal.
// Sequence: an opening is refused and its reset is sent. Cause: a reset whose
// numbers break RFC 9293 3.5.2 is discarded by the caller. The expected bytes
// were computed outside the project's code.
Test(make_tcp_reset, takes_its_numbers_from_the_refused_packet)
{
    struct reset_case
    {
        std::string_view refused;
        std::uint8_t flags;
        std::string_view reset;
    };
    reset_case const cases[] = {
        // SYN without ACK: sequence 0, acknowledgement 1000 + 1.
        {syn, 0x02,
         "45000028000040004006d48acb00710ac6336407"
         "00509c4000000000000003e950140000a9110000"},
        // ACK set: sequence 5001, no acknowledgement.
        {data, 0x18,
         "45000028000040004006d48acb00710ac6336407"
         "00509c4000001389000000005004000099810000"},
        // SYN with five bytes: acknowledgement 1001 + 1 + 5.
        {data, 0x02,
         "45000028000040004006d48acb00710ac6336407"
         "00509c4000000000000003ef50140000a90b0000"},
    };
    for (auto const& [text, flags, expected] : cases)
    {
        auto refused = from_hex(text);
        refused[33] = flags;
        fix_checksums(refused);
        auto const reset = make_tcp_reset(read_sound(refused));
        cr_expect(reset == from_hex(expected));
        cr_expect(read_sound(reset).phase == packet_phase::reset);
    }
}

Test(make_icmp_prohibited, quotes_the_refused_datagram)
{
    auto const refused = from_hex(datagram);
    cr_expect(
        make_icmp_prohibited(read_sound(refused)) ==
        from_hex("45000038000040004001d47fcb00710ac6336407030d43c500000000"
                 "4500001f000040004011d488c6336407cb00710a14e91151000b92e8"));
}

} // namespace cairnhead
