#pragma once

#include <base/identifiers.hpp>
#include <base/time.hpp>
#include <model/service.hpp>

#include <cstdint>
#include <exception>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// What a registry publishes where upstreams register themselves: which
/// upstreams run, and which services they serve. It takes the place of
/// organisations' documents. Like those, the listings are documents with
/// versions that only go up, and spread between VMs.
namespace cairnhead
{

/// Names of the documents.
inline constexpr std::string_view route_document_name = "registry/routes";
inline constexpr std::string_view upstream_document_name = "registry/upstreams";
inline constexpr std::string_view evacuation_document_name =
    "registry/evacuations";

/// The registry has no organisations; where one is named, it is this.
inline constexpr std::string_view registry_organisation_name = "registry";

/// Names one upstream, so that an address that is used again is never taken for
/// the upstream that had it before. Several starts of it may have one number;
/// its incarnation tells them apart.
using instance_number = strong_value<struct instance_number_tag, std::uint64_t>;

/// One upstream as it registered itself.
struct registered_upstream
{
    instance_number instance;
    /// Where it receives packets.
    ipv4_address address;
    std::uint16_t port = 0;
    /// It takes no new flows and keeps those it has.
    bool is_draining = false;
    /// Requests that it works on at the same time.
    std::uint32_t slots = 1;
    /// How much longer it is slow after its start, when it was registered.
    std::uint32_t cold_milliseconds = 0;
    /// The upstreams that serve the same.
    std::string pool;
    std::string failure_domain;
    /// Which start of it this is, by its own clock; zero where it does not say.
    /// That clock may go back, so it never tells alone which of two came later:
    /// the registry's versions do, or the order in which a VM learned of them.
    incarnation life{};
    /// The registry's version of its last change, or a later one: it has been
    /// as it is here from then on.
    document_version changed_at{};

    bool operator==(registered_upstream const&) const = default;
};

/// Between these versions, without them, entries may have come and gone unseen:
/// who has such a version cannot be told what changed since.
struct version_gap
{
    document_version after;
    document_version before;

    bool operator==(version_gap const&) const = default;
};

/// An upstream that left, and the version from which on it is gone.
struct removed_upstream
{
    instance_number instance;
    document_version changed_at{};

    bool operator==(removed_upstream const&) const = default;
};

/// All upstreams that are registered, sorted by instance; or, as a difference,
/// those of them that changed.
struct upstream_listing
{
    std::vector<registered_upstream> upstreams;
    /// Sorted by instance.
    std::vector<removed_upstream> removed{};
    /// All changes after this version can be told one by one from what stands
    /// here, but for the gaps. A difference holds just those.
    document_version complete_since{};
    std::vector<version_gap> gaps{};
    bool is_difference = false;

    bool operator==(upstream_listing const&) const = default;
};

/// A pool and its share of a route's new flows.
struct weighted_pool
{
    std::string pool;
    std::uint32_t weight = 1;

    bool operator==(weighted_pool const&) const = default;
};

/// Where callers reach a service, and which pools serve it.
struct published_route
{
    ipv4_address address;
    std::uint16_t port = 0;
    flow_class traffic = flow_class::form;
    bool is_idempotent = false;
    std::vector<weighted_pool> pools{};
    /// As `registered_upstream::changed_at`.
    document_version changed_at{};
    /// An answer after this is late for the caller; zero where it is not told.
    duration target_latency{};
    /// How urgent its requests are: zero is the most urgent. Absent where the
    /// platform does not declare it.
    std::optional<std::uint8_t> priority{};

    bool operator==(published_route const&) const = default;
};

/// A route that was dropped, and the version from which on it is gone.
struct removed_route
{
    ipv4_address address;
    std::uint16_t port = 0;
    document_version changed_at{};

    bool operator==(removed_route const&) const = default;
};

/// How the upstreams of a pool behave after a start.
struct pool_warmup
{
    std::string pool;
    /// How long one is cold.
    duration cold_start{};
    /// Openings a second that a cold one bears; zero where none is told.
    double openings_per_second = 0;

    bool operator==(pool_warmup const&) const = default;
};

/// All routes, sorted by address and port; or, as a difference, those of them
/// that changed.
struct route_listing
{
    std::vector<published_route> routes;
    /// A flow that was idle for longer may be forgotten.
    duration idle_timeout = std::chrono::seconds(15);
    /// Sorted by pool. A difference has all of them.
    std::vector<pool_warmup> warmups{};
    /// Sorted by address and port.
    std::vector<removed_route> removed{};
    /// As `upstream_listing::complete_since`.
    document_version complete_since{};
    std::vector<version_gap> gaps{};
    bool is_difference = false;

    bool operator==(route_listing const&) const = default;
};

/// Failure domains that operators evacuate: their upstreams take no new flows,
/// and those they have live on. Always whole, as there are few.
struct evacuation_listing
{
    /// Names, sorted. One may have no upstreams.
    std::vector<std::string> domains;

    bool operator==(evacuation_listing const&) const = default;
};

/// Thrown for the text of a registry's document that cannot be read.
class registry_rejected : public std::exception
{
public:
    [[nodiscard]] char const* what() const noexcept override;
};

/// The text of the document. No precondition. Thread safety: no shared state.
[[nodiscard]] std::string encode_listing(upstream_listing const& listing);
[[nodiscard]] std::string encode_listing(route_listing const& listing);
[[nodiscard]] std::string encode_listing(evacuation_listing const& listing);

/// Reads a text. Throws `registry_rejected`. Thread safety: no shared state.
[[nodiscard]] upstream_listing decode_upstreams(std::string_view text);
[[nodiscard]] route_listing decode_routes(std::string_view text);
[[nodiscard]] evacuation_listing decode_evacuations(std::string_view text);

} // namespace cairnhead
