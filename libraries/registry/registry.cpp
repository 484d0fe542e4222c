#include <registry/registry.hpp>

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>
#include <registry.capnp.h>

#include <cstring>

namespace cairnhead
{

namespace
{

/// A listing of the largest size that peers exchange, read twice.
constexpr std::uint64_t traversal_words = (std::uint64_t{1} << 20) / 4;

/// Listing, its list, an entry, the entry's list, an item, its text.
constexpr int maximum_nesting = 8;

std::string to_text(capnp::MallocMessageBuilder& message)
{
    auto const words = capnp::messageToFlatArray(message);
    auto const bytes = words.asChars();
    return {bytes.begin(), bytes.size()};
}

/// The whole text: Cap'n Proto's own conversions end at the first zero byte.
capnp::Text::Reader to_whole(std::string const& text)
{
    return {text.c_str(), text.size()};
}

std::string to_whole(capnp::Text::Reader text)
{
    return {text.begin(), text.end()};
}

void write(
    registered_upstream const& source,
    registry_schema::Upstream::Builder target)
{
    target.setInstance(source.instance.value());
    target.setAddress(source.address.value());
    target.setPort(source.port);
    target.setIsDraining(source.is_draining);
    target.setSlots(source.slots);
    target.setColdMilliseconds(source.cold_milliseconds);
    target.setPool(to_whole(source.pool));
    target.setFailureDomain(to_whole(source.failure_domain));
}

registered_upstream read(registry_schema::Upstream::Reader source)
{
    return {
        .instance = instance_number(source.getInstance()),
        .address = ipv4_address(source.getAddress()),
        .port = source.getPort(),
        .is_draining = source.getIsDraining(),
        .slots = source.getSlots(),
        .cold_milliseconds = source.getColdMilliseconds(),
        .pool = to_whole(source.getPool()),
        .failure_domain = to_whole(source.getFailureDomain())};
}

void write(
    published_route const& source, registry_schema::Route::Builder target)
{
    target.setAddress(source.address.value());
    target.setPort(source.port);
    target.setTraffic(static_cast<std::uint8_t>(source.traffic));
    target.setIsIdempotent(source.is_idempotent);
    auto pools = target.initPools(static_cast<unsigned>(source.pools.size()));
    unsigned index = 0;
    for (weighted_pool const& part : source.pools)
    {
        pools[index].setPool(to_whole(part.pool));
        pools[index].setWeight(part.weight);
        ++index;
    }
}

published_route read(registry_schema::Route::Reader source)
{
    if (source.getTraffic() > static_cast<std::uint8_t>(flow_class::media))
        throw registry_rejected();
    published_route route{
        .address = ipv4_address(source.getAddress()),
        .port = source.getPort(),
        .traffic = static_cast<flow_class>(source.getTraffic()),
        .is_idempotent = source.getIsIdempotent(),
        .pools = {}};
    for (auto const part : source.getPools())
        route.pools.push_back({to_whole(part.getPool()), part.getWeight()});
    return route;
}

/// Opens a text and reads it by `reader`, which gets the message.
template <typename Reader>
auto open_text(std::string_view text, Reader const& reader)
{
    // Cap'n Proto takes a text without words for a listing without entries:
    // a VM that got one would forget all upstreams.
    if (text.empty() || text.size() % sizeof(capnp::word) != 0)
        throw registry_rejected();
    // Cap'n Proto reads words in place, and a text may begin anywhere.
    auto words = kj::heapArray<capnp::word>(text.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), text.data(), words.asBytes().size());
    try
    {
        capnp::FlatArrayMessageReader message(
            words, {.traversalLimitInWords = traversal_words,
                    .nestingLimit = maximum_nesting});
        if (message.getEnd() != words.end())
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
    auto entries =
        message.initRoot<registry_schema::UpstreamListing>().initUpstreams(
            static_cast<unsigned>(listing.upstreams.size()));
    unsigned index = 0;
    for (registered_upstream const& upstream : listing.upstreams)
        write(upstream, entries[index++]);
    return to_text(message);
}

std::string encode_listing(route_listing const& listing)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<registry_schema::RouteListing>();
    auto const idle = std::chrono::duration_cast<std::chrono::milliseconds>(
        listing.idle_timeout);
    root.setIdleMilliseconds(static_cast<std::uint32_t>(idle.count()));
    auto entries =
        root.initRoutes(static_cast<unsigned>(listing.routes.size()));
    unsigned index = 0;
    for (published_route const& route : listing.routes)
        write(route, entries[index++]);
    return to_text(message);
}

upstream_listing decode_upstreams(std::string_view text)
{
    return open_text(
        text,
        [](capnp::FlatArrayMessageReader& message)
        {
            upstream_listing listing;
            auto const root =
                message.getRoot<registry_schema::UpstreamListing>();
            for (auto const entry : root.getUpstreams())
                listing.upstreams.push_back(read(entry));
            return listing;
        });
}

route_listing decode_routes(std::string_view text)
{
    return open_text(
        text,
        [](capnp::FlatArrayMessageReader& message)
        {
            route_listing listing;
            auto const root = message.getRoot<registry_schema::RouteListing>();
            listing.idle_timeout =
                std::chrono::milliseconds(root.getIdleMilliseconds());
            for (auto const entry : root.getRoutes())
                listing.routes.push_back(read(entry));
            return listing;
        });
}

} // namespace cairnhead
