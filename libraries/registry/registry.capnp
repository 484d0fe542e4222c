@0xd3a1f04c7be2965a;

# The documents that a registry of upstreams gives rise to, as VMs hand them to
# each other. See registry.hpp for what the fields mean.
# To regenerate:
#   capnp compile -oc++:generated registry.capnp

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cairnhead::registry_schema");

struct Upstream
{
    instance @0 :UInt64;
    address @1 :UInt32;
    port @2 :UInt16;
    isDraining @3 :Bool;
    slots @4 :UInt32;
    coldMilliseconds @5 :UInt32;
    pool @6 :Text;
    failureDomain @7 :Text;
}

struct UpstreamListing
{
    upstreams @0 :List(Upstream);
}

struct WeightedPool
{
    pool @0 :Text;
    weight @1 :UInt32;
}

struct Route
{
    address @0 :UInt32;
    port @1 :UInt16;
    traffic @2 :UInt8;
    isIdempotent @3 :Bool;
    pools @4 :List(WeightedPool);
}

struct RouteListing
{
    routes @0 :List(Route);
    idleMilliseconds @1 :UInt32;
}
