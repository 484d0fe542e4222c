#include <emulator/registry_store.hpp>

#include <algorithm>
#include <utility>

namespace cairnhead::emulator
{

namespace
{

constexpr std::uint32_t first_upstream_address = 0x0a800001;
constexpr std::uint32_t first_route_address = 0xc6120001;
constexpr std::uint16_t route_port = 443;
constexpr std::uint16_t upstream_port = 8080;

constexpr std::uint64_t bytes_per_item = 300;

std::string pool_name(std::uint32_t number)
{
    return "pool-" + std::to_string(number);
}

/// The pool of the nth upstream.
std::uint32_t pool_of(topology const& shape, std::uint32_t number)
{
    if (shape.pool_sizes.empty())
        return number % shape.addresses;
    std::uint32_t pool = 0;
    std::uint32_t end = shape.pool_sizes.front();
    while (number >= end)
        end += shape.pool_sizes.at(++pool);
    return pool;
}

template <typename Listing>
std::shared_ptr<std::string const> encode_shared(Listing const& listing)
{
    return std::make_shared<std::string const>(encode_listing(listing));
}

template <typename Listing>
std::shared_ptr<std::string const> text_after(
    Listing const& whole,
    document_version held,
    std::shared_ptr<std::string const>& kept)
{
    auto const changed =
        held == document_version() ? std::nullopt : changes_after(whole, held);
    if (changed)
        return encode_shared(*changed);
    if (kept == nullptr)
        kept = encode_shared(whole);
    return kept;
}

} // namespace

registry_store::registry_store(layout const& shared, std::uint64_t seed)
    : place(shared), random(seed), latest(1)
{
    topology const& shape = this->place.shape();
    upstream_listing registered;
    for (std::uint32_t number = 0; number < shape.upstreams; ++number)
        registered.upstreams.push_back(this->make_upstream(number));
    std::ranges::sort(registered.upstreams, {}, &registered_upstream::instance);
    registered.complete_since = this->latest;
    this->upstreams = {this->latest, std::move(registered)};
    route_listing published;
    std::uint32_t const addresses =
        shape.services.empty()
            ? shape.addresses
            : static_cast<std::uint32_t>(shape.services.size());
    for (std::uint32_t number = 0; number < addresses; ++number)
    {
        auto const service = shape.services.empty() ? service_shape{number}
                                                    : shape.services[number];
        published.routes.push_back(
            {.address = ipv4_address(first_route_address + number),
             .port = route_port,
             .traffic = flow_class::form,
             .is_idempotent = service.is_idempotent,
             .pools = {{pool_name(service.pool), 1}},
             .changed_at = this->latest,
             .target_latency = service.target_latency,
             .priority = static_cast<std::uint8_t>(service.priority)});
    }
    published.complete_since = this->latest;
    this->routes = {this->latest, std::move(published)};
    this->evacuations = {this->latest, {}};
}

registered_upstream registry_store::make_upstream(std::uint32_t number)
{
    auto const domain = this->place.domain_of(number);
    return {
        .instance = instance_number(this->random() >> 24U),
        .address =
            ipv4_address(first_upstream_address + this->started_upstreams++),
        .port = upstream_port,
        .is_draining = false,
        .slots = 2,
        .cold_milliseconds = 2'000,
        .pool = pool_name(pool_of(this->place.shape(), number)),
        .failure_domain = layout::domain_name(domain),
        .changed_at = this->latest};
}

void registry_store::replace_upstreams(std::uint32_t count)
{
    this->begin_change();
    upstream_listing changed;
    auto const& held = this->upstreams.listing.upstreams;
    for (std::uint32_t replaced = 0; replaced < count; ++replaced)
    {
        auto const number =
            static_cast<std::uint32_t>(this->random() % held.size());
        changed.removed.push_back({held[number].instance, this->latest});
        changed.upstreams.push_back(this->make_upstream(number));
    }
    this->take(std::move(changed));
}

void registry_store::drain(instance_number instance)
{
    this->begin_change();
    upstream_listing changed;
    for (registered_upstream const& each : this->upstreams.listing.upstreams)
    {
        if (each.instance != instance)
            continue;
        changed.upstreams.push_back(each);
        changed.upstreams.back().is_draining = true;
        changed.upstreams.back().changed_at = this->latest;
    }
    this->take(std::move(changed));
}

void registry_store::remove(std::span<instance_number const> instances)
{
    this->begin_change();
    upstream_listing changed;
    for (instance_number const instance : instances)
        changed.removed.push_back({instance, this->latest});
    this->take(std::move(changed));
}

registered_upstream registry_store::start_upstream(
    registered_upstream const& like, bool is_address_used_again)
{
    this->begin_change();
    registered_upstream started = like;
    started.instance = instance_number(this->random() >> 24U);
    started.is_draining = false;
    started.changed_at = this->latest;
    if (!is_address_used_again)
        started.address =
            ipv4_address(first_upstream_address + this->started_upstreams++);
    upstream_listing changed;
    changed.upstreams.push_back(started);
    this->take(std::move(changed));
    return started;
}

upstream_listing const& registry_store::upstreams_now() const
{
    return this->upstreams.listing;
}

route_listing const& registry_store::routes_now() const
{
    return this->routes.listing;
}

void registry_store::begin_change()
{
    this->latest = document_version(this->latest.value() + 1);
}

void registry_store::change_route()
{
    this->begin_change();
    route_listing changed;
    auto const& held = this->routes.listing.routes;
    published_route route = held[this->random() % held.size()];
    ++route.pools.front().weight;
    route.changed_at = this->latest;
    changed.routes.push_back(std::move(route));
    this->take(std::move(changed));
}

void registry_store::add_routes(std::uint32_t count)
{
    this->begin_change();
    route_listing changed;
    topology const& shape = this->place.shape();
    for (std::uint32_t added = 0; added < count; ++added)
    {
        auto const number = shape.addresses + this->added_routes++;
        changed.routes.push_back(
            {.address = ipv4_address(first_route_address + number),
             .port = route_port,
             .traffic = flow_class::form,
             .is_idempotent = false,
             .pools = {{pool_name(number % shape.addresses), 1}},
             .changed_at = this->latest});
    }
    this->take(std::move(changed));
}

void registry_store::take(upstream_listing difference)
{
    std::ranges::sort(difference.upstreams, {}, &registered_upstream::instance);
    std::ranges::sort(difference.removed, {}, &removed_upstream::instance);
    difference.complete_since = this->upstreams.version;
    difference.is_difference = true;
    take_in(this->upstreams, {this->latest, std::move(difference)});
    this->whole_upstreams.reset();
}

void registry_store::take(route_listing difference)
{
    difference.complete_since = this->routes.version;
    difference.is_difference = true;
    take_in(this->routes, {this->latest, std::move(difference)});
    this->whole_routes.reset();
}

void registry_store::evacuate(std::string const& domain)
{
    this->begin_change();
    auto& domains = this->evacuations.listing.domains;
    auto const found = std::ranges::lower_bound(domains, domain);
    if (found == domains.end() || *found != domain)
        domains.insert(found, domain);
    this->evacuations.version = this->latest;
}

void registry_store::end_evacuation(std::string const& domain)
{
    this->begin_change();
    std::erase(this->evacuations.listing.domains, domain);
    this->evacuations.version = this->latest;
}

document_version registry_store::version_of(std::string_view name) const
{
    if (name == route_document_name)
        return this->routes.version;
    return name == upstream_document_name ? this->upstreams.version
                                          : this->evacuations.version;
}

std::shared_ptr<std::string const>
registry_store::text_for(std::string_view name, document_version held)
{
    if (name == route_document_name)
        return text_after(this->routes.listing, held, this->whole_routes);
    if (name == upstream_document_name)
        return text_after(this->upstreams.listing, held, this->whole_upstreams);
    return encode_shared(this->evacuations.listing);
}

std::uint32_t registry_store::pages() const
{
    auto const items =
        static_cast<std::uint32_t>(this->upstreams.listing.upstreams.size());
    return items / this->place.shape().items_per_page + 1;
}

std::uint64_t registry_store::upstream_bytes() const
{
    return this->upstreams.listing.upstreams.size() * bytes_per_item;
}

std::uint64_t registry_store::complete_bytes() const
{
    return this->upstream_bytes() +
           this->routes.listing.routes.size() * bytes_per_item;
}

} // namespace cairnhead::emulator
