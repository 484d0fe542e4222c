#include <wire/codec.hpp>
#include <wire/codec_parts.hpp>

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>
#include <peer.capnp.h>

#include <array>
#include <bit>
#include <cstring>

namespace cairnhead
{

namespace
{

using namespace wire_parts;

constexpr std::size_t word_size = sizeof(capnp::word);

/// A frame is one segment, behind a table of one word: the number of segments
/// less one, and the segment's length in words, both little endian.
struct segment_table
{
    std::uint32_t segments_less_one = 0;
    std::uint32_t words = 0;
};
static_assert(sizeof(segment_table) == word_size);
static_assert(std::endian::native == std::endian::little);

/// Root pointer, three words of data, one pointer, and the list of visited
/// VMs at two a word.
constexpr std::size_t maximum_segment_words =
    1 + 3 + 1 + (maximum_visited_vms + 1) / 2;

/// The root and the list are all the nesting there is.
constexpr int maximum_nesting = 3;

/// A list may be read more than once, which counts each time.
constexpr std::size_t traversal_words = 4 * maximum_segment_words;

using segment_buffer = std::array<capnp::word, maximum_segment_words>;

void append(void const* data, std::size_t size, std::vector<std::uint8_t>& out)
{
    auto const* const bytes = static_cast<std::uint8_t const*>(data);
    out.insert(out.end(), bytes, bytes + size);
}

void write_claim(
    pin_claim const& claim, peer_schema::FrameHeader::Builder header)
{
    header.setHasClaim(true);
    header.setClaimState(static_cast<std::uint8_t>(claim.state));
    header.setClaimFlow(claim.flow.value());
    header.setClaimService(claim.service.value());
    header.setClaimUpstream(claim.upstream.value());
}

void write_header(
    peer_frame const& frame, peer_schema::FrameHeader::Builder header)
{
    header.setSender(frame.sender.value());
    header.setRole(static_cast<peer_schema::FrameRole>(frame.role));
    if (frame.claim)
        write_claim(*frame.claim, header);
    if (frame.visited.empty())
        return;
    auto list = header.initVisited(static_cast<unsigned>(frame.visited.size()));
    unsigned index = 0;
    for (auto const vm : frame.visited)
        list.set(index++, vm.value());
}

pin_claim read_claim(peer_schema::FrameHeader::Reader header)
{
    return {
        .flow = flow_id(header.getClaimFlow()),
        .service = service_id(header.getClaimService()),
        .upstream = upstream_id(header.getClaimUpstream()),
        .state = checked_enum(header.getClaimState(), pin_state::closing)};
}

peer_frame read_header(peer_schema::FrameHeader::Reader header)
{
    peer_frame frame;
    frame.sender = vm_id(header.getSender());
    frame.role = checked_enum(header.getRole(), frame_role::exhausted);
    if (header.getHasClaim())
        frame.claim = read_claim(header);
    auto const visited = header.getVisited();
    if (visited.size() > maximum_visited_vms)
        throw malformed_datagram(malformed_reason::out_of_range);
    for (auto const vm : visited)
        frame.visited.push_back(vm_id(vm));
    return frame;
}

/// The length in words of the frame's only segment.
std::size_t read_segment_words(std::span<std::uint8_t const> bytes)
{
    if (bytes.size() < sizeof(segment_table))
        throw malformed_datagram(malformed_reason::truncated);
    segment_table table;
    std::memcpy(&table, bytes.data(), sizeof(table));
    if (table.segments_less_one != 0)
        throw malformed_datagram(malformed_reason::not_capnp);
    if (table.words > maximum_segment_words)
        throw malformed_datagram(malformed_reason::too_large);
    if (bytes.size() < sizeof(table) + table.words * word_size)
        throw malformed_datagram(malformed_reason::truncated);
    return table.words;
}

peer_frame read_segment(kj::ArrayPtr<capnp::word const> segment)
{
    kj::ArrayPtr<capnp::word const> segments[] = {segment};
    capnp::SegmentArrayMessageReader reader(
        segments, {.traversalLimitInWords = traversal_words,
                   .nestingLimit = maximum_nesting});
    return read_header(reader.getRoot<peer_schema::FrameHeader>());
}

} // namespace

void encode_frame(
    peer_frame const& frame,
    std::span<std::uint8_t const> packet,
    std::vector<std::uint8_t>& out)
{
    segment_buffer scratch{};
    capnp::MallocMessageBuilder builder(
        kj::arrayPtr(scratch.data(), scratch.size()));
    write_header(frame, builder.initRoot<peer_schema::FrameHeader>());
    auto const segment = builder.getSegmentsForOutput()[0].asBytes();
    segment_table const table{
        .segments_less_one = 0,
        .words = static_cast<std::uint32_t>(segment.size() / word_size)};
    append(&table, sizeof(table), out);
    append(segment.begin(), segment.size(), out);
    append(packet.data(), packet.size(), out);
}

decoded_frame decode_frame(std::span<std::uint8_t const> bytes)
{
    auto const words = read_segment_words(bytes);
    // Cap'n Proto reads whole words in place, and a datagram's payload does
    // not begin at a word's boundary.
    segment_buffer aligned{};
    auto const size = words * word_size;
    std::memcpy(aligned.data(), bytes.data() + sizeof(segment_table), size);
    try
    {
        return {
            .frame = read_segment(kj::arrayPtr(aligned.data(), words)),
            .packet = bytes.subspan(sizeof(segment_table) + size)};
    }
    catch (kj::Exception const&)
    {
        throw malformed_datagram(malformed_reason::not_capnp);
    }
}

} // namespace cairnhead
