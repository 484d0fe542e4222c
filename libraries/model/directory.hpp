#pragma once

#include <model/service.hpp>

#include <absl/container/flat_hash_map.h>
#include <span>
#include <vector>

namespace cairnhead
{

/// All services and upstreams in force at one moment, ready for look-ups.
/// Immutable once built. Thread safety: any number of concurrent readers.
class directory
{
public:
    directory() = default;

    /// Precondition: no two services share an id or an address, no two
    /// upstreams an id; the declaration library has refused such documents.
    directory(std::vector<service> services, std::vector<upstream> upstreams);

    /// The service at an address, or nullptr. No precondition.
    [[nodiscard]] service const* find_service(endpoint const& address) const;

    /// The service with an id, or nullptr. No precondition.
    [[nodiscard]] service const* find_service(service_id id) const;

    /// The upstream with an id, or nullptr. No precondition.
    [[nodiscard]] upstream const* find_upstream(upstream_id id) const;

    /// All services, sorted by name. No precondition.
    [[nodiscard]] std::span<service const> services() const;

    /// All upstreams, sorted by id. No precondition.
    [[nodiscard]] std::span<upstream const> upstreams() const;

private:
    std::vector<service> all_services;
    std::vector<upstream> all_upstreams;
    absl::flat_hash_map<endpoint, std::size_t> by_address;
    absl::flat_hash_map<service_id, std::size_t> by_id;
    absl::flat_hash_map<upstream_id, std::size_t> upstream_by_id;
};

} // namespace cairnhead
