#include <versions/listing_parts.hpp>

#include <utility>

namespace cairnhead
{

namespace
{

/// Bytes reserved for the message's own fields, its sender and its
/// authentication.
constexpr std::size_t reserved_bytes = 200;

/// The encoded size of a version, a reference to the name, and the name's
/// length or terminator.
constexpr std::size_t stamp_overhead_bytes = 24;

/// Names are padded to whole words.
constexpr std::size_t word_bytes = 8;

std::size_t estimate_bytes(document_stamp const& stamp)
{
    auto const words = (stamp.name.size() + word_bytes - 1) / word_bytes;
    return stamp_overhead_bytes + words * word_bytes;
}

} // namespace

std::vector<document_listing>
split_listing(listing_kind kind, std::span<document_stamp const> stamps)
{
    constexpr auto available_bytes = maximum_control_bytes - reserved_bytes;
    std::vector<document_listing> parts;
    document_listing part{listing_kind::answer, {}};
    std::size_t used_bytes = 0;
    for (auto const& stamp : stamps)
    {
        auto const needed_bytes = estimate_bytes(stamp);
        if (used_bytes + needed_bytes > available_bytes)
        {
            parts.push_back(std::exchange(part, {listing_kind::answer, {}}));
            used_bytes = 0;
        }
        part.documents.push_back(stamp);
        used_bytes += needed_bytes;
    }
    part.kind = kind;
    parts.push_back(std::move(part));
    return parts;
}

} // namespace cairnhead
