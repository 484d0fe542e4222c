#include <registry/registry.hpp>

#include <registry/name_table.hpp>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>
#include <registry.capnp.h>

#include <algorithm>
#include <functional>
#include <limits>
#include <optional>
#include <span>
#include <utility>

namespace cairnhead
{

namespace
{

/// Many times the largest listing. Packing shrinks runs of zeros, so a short
/// text could otherwise claim gigabytes.
constexpr std::uint64_t traversal_words = std::uint64_t{1} << 20;

/// What a text says that it is. Cap'n Proto takes a text without words for a
/// listing without entries: a VM that got one would forget all upstreams.
constexpr std::uint16_t upstreams_format = 0x7501;
constexpr std::uint16_t routes_format = 0x7201;
constexpr std::uint16_t evacuations_format = 0x6501;

/// Listing, its list, an entry, the entry's list, an item, its text.
constexpr int maximum_nesting = 8;

std::string to_text(capnp::MallocMessageBuilder& message)
{
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    auto const bytes = out.getArray().asChars();
    return {bytes.begin(), bytes.size()};
}

/// The whole text: Cap'n Proto's own conversions end at the first zero byte.
capnp::Text::Reader to_whole(std::string const& text)
{
    return {text.c_str(), text.size()};
}

std::string to_whole(capnp::Text::Reader text)
{
    return {text.begin(), text.size()};
}

std::uint32_t to_milliseconds(duration length)
{
    return static_cast<std::uint32_t>(length / std::chrono::milliseconds(1));
}

void write_texts(
    std::span<std::string const> all, capnp::List<capnp::Text>::Builder target)
{
    unsigned index = 0;
    for (std::string const& text : all)
        target.set(index++, to_whole(text));
}

template <typename Listing>
void write_names(name_table const& names, Listing target)
{
    auto const all = names.all();
    write_texts(all, target.initNames(static_cast<unsigned>(all.size())));
}

std::vector<std::string> read_texts(capnp::List<capnp::Text>::Reader source)
{
    std::vector<std::string> texts;
    for (auto const text : source)
        texts.push_back(to_whole(text));
    return texts;
}

std::string const&
name_at(std::vector<std::string> const& names, std::uint16_t place)
{
    if (place >= names.size())
        throw registry_rejected();
    return names[place];
}

void write(
    registered_upstream const& source,
    name_table& names,
    registry_schema::Upstream::Builder target)
{
    target.setInstance(source.instance.value());
    target.setAddress(source.address.value());
    target.setPort(source.port);
    target.setIsDraining(source.is_draining);
    target.setSlots(source.slots);
    target.setColdMilliseconds(source.cold_milliseconds);
    target.setPool(names.place_of(source.pool));
    target.setFailureDomain(names.place_of(source.failure_domain));
    target.setLife(source.life.value());
    target.setChangedAt(source.changed_at.value());
}

registered_upstream read(
    registry_schema::Upstream::Reader source,
    std::vector<std::string> const& names)
{
    return {
        .instance = instance_number(source.getInstance()),
        .address = ipv4_address(source.getAddress()),
        .port = source.getPort(),
        .is_draining = source.getIsDraining(),
        .slots = source.getSlots(),
        .cold_milliseconds = source.getColdMilliseconds(),
        .pool = name_at(names, source.getPool()),
        .failure_domain = name_at(names, source.getFailureDomain()),
        .life = incarnation(source.getLife()),
        .changed_at = document_version(source.getChangedAt())};
}

void write(
    removed_upstream const& source,
    registry_schema::RemovedUpstream::Builder target)
{
    target.setInstance(source.instance.value());
    target.setChangedAt(source.changed_at.value());
}

removed_upstream read(registry_schema::RemovedUpstream::Reader source)
{
    return {
        instance_number(source.getInstance()),
        document_version(source.getChangedAt())};
}

/// Documents of releases without priorities hold zero, which stands for none.
std::uint16_t to_stored(std::optional<std::uint8_t> priority)
{
    return priority ? static_cast<std::uint16_t>(*priority + 1) : 0;
}

std::optional<std::uint8_t> read_priority(std::uint16_t stored)
{
    constexpr std::uint16_t highest_stored =
        std::numeric_limits<std::uint8_t>::max() + 1;
    if (stored == 0 || stored > highest_stored)
        return std::nullopt;
    return static_cast<std::uint8_t>(stored - 1);
}

void write(
    published_route const& source,
    name_table& names,
    registry_schema::Route::Builder target)
{
    target.setAddress(source.address.value());
    target.setPort(source.port);
    target.setTraffic(static_cast<std::uint8_t>(source.traffic));
    target.setIsIdempotent(source.is_idempotent);
    target.setChangedAt(source.changed_at.value());
    target.setTargetMilliseconds(to_milliseconds(source.target_latency));
    target.setPriority(to_stored(source.priority));
    auto pools = target.initPools(static_cast<unsigned>(source.pools.size()));
    unsigned index = 0;
    for (weighted_pool const& part : source.pools)
    {
        pools[index].setPool(names.place_of(part.pool));
        pools[index].setWeight(part.weight);
        ++index;
    }
}

published_route read(
    registry_schema::Route::Reader source,
    std::vector<std::string> const& names)
{
    if (source.getTraffic() > static_cast<std::uint8_t>(flow_class::upload))
        throw registry_rejected();
    published_route route{
        .address = ipv4_address(source.getAddress()),
        .port = source.getPort(),
        .traffic = static_cast<flow_class>(source.getTraffic()),
        .is_idempotent = source.getIsIdempotent(),
        .pools = {},
        .changed_at = document_version(source.getChangedAt()),
        .target_latency =
            std::chrono::milliseconds(source.getTargetMilliseconds()),
        .priority = read_priority(source.getPriority())};
    for (auto const part : source.getPools())
        route.pools.push_back(
            {name_at(names, part.getPool()), part.getWeight()});
    return route;
}

void write(
    removed_route const& source, registry_schema::RemovedRoute::Builder target)
{
    target.setAddress(source.address.value());
    target.setPort(source.port);
    target.setChangedAt(source.changed_at.value());
}

removed_route read(registry_schema::RemovedRoute::Reader source)
{
    return {
        ipv4_address(source.getAddress()), source.getPort(),
        document_version(source.getChangedAt())};
}

void write(
    pool_warmup const& source,
    name_table& names,
    registry_schema::PoolWarmup::Builder target)
{
    target.setPool(names.place_of(source.pool));
    target.setColdMilliseconds(to_milliseconds(source.cold_start));
    target.setOpeningsPerSecond(source.openings_per_second);
}

pool_warmup read(
    registry_schema::PoolWarmup::Reader source,
    std::vector<std::string> const& names)
{
    return {
        .pool = name_at(names, source.getPool()),
        .cold_start = std::chrono::milliseconds(source.getColdMilliseconds()),
        .openings_per_second = source.getOpeningsPerSecond()};
}

/// What listings of entries have.
template <typename Listing, typename Root>
void write_changes(Listing const& listing, std::uint16_t format, Root root)
{
    root.setFormat(format);
    root.setCompleteSince(listing.complete_since.value());
    root.setIsDifference(listing.is_difference);
    auto removed =
        root.initRemoved(static_cast<unsigned>(listing.removed.size()));
    unsigned index = 0;
    for (auto const& entry : listing.removed)
        write(entry, removed[index++]);
    auto gaps = root.initGaps(static_cast<unsigned>(listing.gaps.size()));
    index = 0;
    for (version_gap const& gap : listing.gaps)
    {
        gaps[index].setAfter(gap.after.value());
        gaps[index].setBefore(gap.before.value());
        ++index;
    }
}

template <typename Root, typename Listing>
void read_changes(Root root, std::uint16_t format, Listing& listing)
{
    if (root.getFormat() != format)
        throw registry_rejected();
    listing.complete_since = document_version(root.getCompleteSince());
    listing.is_difference = root.getIsDifference();
    for (auto const entry : root.getRemoved())
        listing.removed.push_back(read(entry));
    for (auto const gap : root.getGaps())
        listing.gaps.push_back(
            {document_version(gap.getAfter()),
             document_version(gap.getBefore())});
}

/// A difference that holds an older change is no difference since its base: a
/// VM would take that for the latest change.
template <typename Entries, typename Listing>
void require_changed(Entries const& entries, Listing const& listing)
{
    auto const is_old = [&listing](auto const& entry)
    {
        return entry.changed_at <= listing.complete_since;
    };
    if (listing.is_difference && std::ranges::any_of(entries, is_old))
        throw registry_rejected();
}

/// Whether the entries stand as the type demands: looking one up in a listing
/// that is not sorted would miss it.
template <typename Entries, typename Key>
void require_sorted(Entries const& entries, Key const& key_of)
{
    auto const is_out_of_order =
        [&key_of](auto const& first, auto const& second)
    {
        return !(key_of(first) < key_of(second));
    };
    if (std::ranges::adjacent_find(entries, is_out_of_order) != entries.end())
        throw registry_rejected();
}

constexpr auto by_instance = [](auto const& entry)
{
    return entry.instance;
};

constexpr auto by_place = [](auto const& entry)
{
    return std::pair(entry.address, entry.port);
};

constexpr auto by_pool = [](pool_warmup const& entry)
{
    return entry.pool;
};

/// The library reads segments when they are first used; what follows the last
/// one is seen only then.
void read_all_segments(capnp::MessageReader& message)
{
    unsigned segment = 0;
    while (message.getSegment(segment).begin() != nullptr)
        ++segment;
}

/// Opens a text and reads it by `reader`, which gets the message.
template <typename Reader>
auto open_text(std::string_view text, Reader const& reader)
{
    auto const bytes = kj::arrayPtr(text.data(), text.size()).asBytes();
    kj::ArrayInputStream input(bytes);
    try
    {
        capnp::PackedMessageReader message(
            input, {.traversalLimitInWords = traversal_words,
                    .nestingLimit = maximum_nesting});
        read_all_segments(message);
        if (input.tryGetReadBuffer().size() != 0)
            throw registry_rejected();
        return reader(message);
    }
    catch (kj::Exception const&)
    {
        throw registry_rejected();
    }
}

} // namespace

char const* registry_rejected::what() const noexcept
{
    return "the registry's document cannot be read";
}

std::string encode_listing(upstream_listing const& listing)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<registry_schema::UpstreamListing>();
    name_table names;
    auto entries =
        root.initUpstreams(static_cast<unsigned>(listing.upstreams.size()));
    unsigned index = 0;
    for (registered_upstream const& upstream : listing.upstreams)
        write(upstream, names, entries[index++]);
    write_changes(listing, upstreams_format, root);
    write_names(names, root);
    return to_text(message);
}

std::string encode_listing(route_listing const& listing)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<registry_schema::RouteListing>();
    root.setIdleMilliseconds(to_milliseconds(listing.idle_timeout));
    name_table names;
    auto entries =
        root.initRoutes(static_cast<unsigned>(listing.routes.size()));
    unsigned index = 0;
    for (published_route const& route : listing.routes)
        write(route, names, entries[index++]);
    auto warmups =
        root.initWarmups(static_cast<unsigned>(listing.warmups.size()));
    index = 0;
    for (pool_warmup const& warmup : listing.warmups)
        write(warmup, names, warmups[index++]);
    write_changes(listing, routes_format, root);
    write_names(names, root);
    return to_text(message);
}

std::string encode_listing(evacuation_listing const& listing)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<registry_schema::EvacuationListing>();
    root.setFormat(evacuations_format);
    write_texts(
        listing.domains,
        root.initDomains(static_cast<unsigned>(listing.domains.size())));
    return to_text(message);
}

upstream_listing decode_upstreams(std::string_view text)
{
    return open_text(
        text,
        [](capnp::MessageReader& message)
        {
            upstream_listing listing;
            auto const root =
                message.getRoot<registry_schema::UpstreamListing>();
            auto const names = read_texts(root.getNames());
            for (auto const entry : root.getUpstreams())
                listing.upstreams.push_back(read(entry, names));
            read_changes(root, upstreams_format, listing);
            require_sorted(listing.upstreams, by_instance);
            require_sorted(listing.removed, by_instance);
            require_changed(listing.upstreams, listing);
            require_changed(listing.removed, listing);
            return listing;
        });
}

route_listing decode_routes(std::string_view text)
{
    return open_text(
        text,
        [](capnp::MessageReader& message)
        {
            route_listing listing;
            auto const root = message.getRoot<registry_schema::RouteListing>();
            auto const names = read_texts(root.getNames());
            listing.idle_timeout =
                std::chrono::milliseconds(root.getIdleMilliseconds());
            for (auto const entry : root.getRoutes())
                listing.routes.push_back(read(entry, names));
            read_changes(root, routes_format, listing);
            for (auto const entry : root.getWarmups())
                listing.warmups.push_back(read(entry, names));
            require_sorted(listing.warmups, by_pool);
            require_sorted(listing.routes, by_place);
            require_sorted(listing.removed, by_place);
            require_changed(listing.routes, listing);
            require_changed(listing.removed, listing);
            return listing;
        });
}

evacuation_listing decode_evacuations(std::string_view text)
{
    return open_text(
        text,
        [](capnp::MessageReader& message)
        {
            auto const root =
                message.getRoot<registry_schema::EvacuationListing>();
            if (root.getFormat() != evacuations_format)
                throw registry_rejected();
            evacuation_listing listing{read_texts(root.getDomains())};
            require_sorted(listing.domains, std::identity());
            return listing;
        });
}

} // namespace cairnhead
