@0xd3a1f04c7be2965a;

# The documents that a registry of upstreams gives rise to, as VMs hand them to
# each other. See registry.hpp for what the fields mean.
# To regenerate:
#   capnp compile -oc++:generated registry.capnp

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("cairnhead::registry_schema");

struct Upstream
{
    # Names stand once in their listing; an entry has their places there.
    instance @0 :UInt64;
    address @1 :UInt32;
    port @2 :UInt16;
    isDraining @3 :Bool;
    slots @4 :UInt32;
    coldMilliseconds @5 :UInt32;
    pool @6 :UInt16;
    failureDomain @7 :UInt16;
    changedAt @8 :UInt64;
    life @9 :UInt64;
}

struct RemovedUpstream
{
    instance @0 :UInt64;
    changedAt @1 :UInt64;
}

struct VersionGap
{
    after @0 :UInt64;
    before @1 :UInt64;
}

struct UpstreamListing
{
    names @0 :List(Text);
    upstreams @1 :List(Upstream);
    removed @2 :List(RemovedUpstream);
    completeSince @3 :UInt64;
    isDifference @4 :Bool;
    # Tells this listing from others and from no listing at all.
    format @5 :UInt16;
    gaps @6 :List(VersionGap);
}

struct WeightedPool
{
    pool @0 :UInt16;
    weight @1 :UInt32;
}

struct Route
{
    address @0 :UInt32;
    port @1 :UInt16;
    traffic @2 :UInt8;
    isIdempotent @3 :Bool;
    pools @4 :List(WeightedPool);
    changedAt @5 :UInt64;
    targetMilliseconds @6 :UInt32;
    # One more than the priority; zero for none.
    priority @7 :UInt16;
}

struct RemovedRoute
{
    address @0 :UInt32;
    port @1 :UInt16;
    changedAt @2 :UInt64;
}

struct PoolWarmup
{
    pool @0 :UInt16;
    coldMilliseconds @1 :UInt32;
    openingsPerSecond @2 :Float64;
}

struct RouteListing
{
    names @0 :List(Text);
    routes @1 :List(Route);
    idleMilliseconds @2 :UInt32;
    removed @3 :List(RemovedRoute);
    completeSince @4 :UInt64;
    isDifference @5 :Bool;
    format @6 :UInt16;
    gaps @7 :List(VersionGap);
    warmups @8 :List(PoolWarmup);
}

struct EvacuationListing
{
    domains @0 :List(Text);
    format @1 :UInt16;
}
