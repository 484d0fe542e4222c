#pragma once

#include <emulator/topology.hpp>
#include <registry/listing_difference.hpp>

#include <memory>
#include <random>
#include <span>
#include <string>

namespace cairnhead::emulator
{

/// What the platform publishes: routes, upstreams and evacuations, each change
/// with a version. Readers get whole texts or differences, as a reader's own
/// mirror would give them. Thread safety of all methods: none.
class registry_store
{
public:
    /// Fills the registry as the layout says. Precondition: the layout
    /// outlives the object.
    registry_store(layout const& place, std::uint64_t seed);

    /// Replaces upstreams: new ones register, old ones leave. No precondition.
    void replace_upstreams(std::uint32_t count);

    /// An upstream takes no new flows from now on. No precondition.
    void drain(instance_number instance);

    /// Upstreams are no longer registered. No precondition.
    void remove(std::span<instance_number const> instances);

    /// Another upstream of the same pool registers: at the address of one that
    /// left, or else at an address of its own. Gives it. No precondition.
    registered_upstream
    start_upstream(registered_upstream const& like, bool is_address_used_again);

    /// What is registered and published. No precondition.
    [[nodiscard]] upstream_listing const& upstreams_now() const;
    [[nodiscard]] route_listing const& routes_now() const;

    /// Changes the shares of a route. No precondition.
    void change_route();

    /// Adds routes that lead to the pools there are. No precondition.
    void add_routes(std::uint32_t count);

    /// Operators evacuate a failure domain, or no more. No precondition.
    void evacuate(std::string const& domain);
    void end_evacuation(std::string const& domain);

    /// No precondition.
    [[nodiscard]] document_version version_of(std::string_view name) const;

    /// The text for a VM that holds the version, zero for none. Precondition:
    /// the name is that of a registry's document.
    [[nodiscard]] std::shared_ptr<std::string const>
    text_for(std::string_view name, document_version held);

    /// How many pages a complete read takes. No precondition.
    [[nodiscard]] std::uint32_t pages() const;

    /// How many bytes the upstreams' pages have, and how many a complete read
    /// takes. No precondition.
    [[nodiscard]] std::uint64_t upstream_bytes() const;
    [[nodiscard]] std::uint64_t complete_bytes() const;

private:
    registered_upstream make_upstream(std::uint32_t number);
    void begin_change();
    void take(upstream_listing difference);
    void take(route_listing difference);

    layout const& place;
    std::mt19937_64 random;
    document_version latest;
    std::uint32_t started_upstreams = 0;
    std::uint32_t added_routes = 0;
    versioned_listing<upstream_listing> upstreams;
    versioned_listing<route_listing> routes;
    versioned_listing<evacuation_listing> evacuations;
    /// The whole texts of the versions there are now; many VMs ask for them
    /// when all start at once.
    std::shared_ptr<std::string const> whole_upstreams;
    std::shared_ptr<std::string const> whole_routes;
};

} // namespace cairnhead::emulator
