#pragma once

#include <base/identifiers.hpp>
#include <registry/listing_difference.hpp>

#include <memory>

namespace cairnhead
{

/// A registry as a VM holds it, with the point up to which it shows all that
/// the platform published. Whoever has one can go on reading from there.
struct registry_snapshot
{
    platform_index complete_up_to;
    /// Null for a document that the VM does not have.
    std::shared_ptr<versioned_listing<route_listing> const> routes;
    std::shared_ptr<versioned_listing<upstream_listing> const> upstreams;
    std::shared_ptr<versioned_listing<evacuation_listing> const> evacuations;
};

/// The documents of a registry that are in force; null for one that the VM
/// does not have.
struct registry_contents
{
    std::shared_ptr<route_listing const> routes{};
    std::shared_ptr<upstream_listing const> upstreams{};
    std::shared_ptr<evacuation_listing const> evacuations{};
};

} // namespace cairnhead
