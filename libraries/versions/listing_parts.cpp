#include <versions/listing_parts.hpp>

#include <utility>

namespace cairnhead
{

namespace
{

/// Room for the message's own fields, its sender and its authentication.
constexpr std::size_t reserved_bytes = 200;

/// A version, a reference to the name, and the name's length or terminator.
constexpr std::size_t stamp_overhead_bytes = 24;

/// Names are padded to words.
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
    constexpr auto available = maximum_control_bytes - reserved_bytes;
    std::vector<document_listing> parts;
    document_listing part{listing_kind::answer, {}};
    std::size_t used = 0;
    for (auto const& stamp : stamps)
    {
        auto const needed = estimate_bytes(stamp);
        if (used + needed > available)
        {
            parts.push_back(std::exchange(part, {listing_kind::answer, {}}));
            used = 0;
        }
        part.documents.push_back(stamp);
        used += needed;
    }
    part.kind = kind;
    parts.push_back(std::move(part));
    return parts;
}

} // namespace cairnhead
