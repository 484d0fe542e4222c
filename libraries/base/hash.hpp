#pragma once

#include <base/identifiers.hpp>

#include <cstdint>
#include <string_view>

/// Hashing that all VMs agree on: it is part of the protocol between them,
/// since owners and predictions are derived from it.
namespace cairnhead
{

/// Hashes two words; the same on every VM and in every build.
[[nodiscard]] std::uint64_t
hash_pair(std::uint64_t first, std::uint64_t second);

/// Hashes text; the same on every VM and in every build.
[[nodiscard]] std::uint64_t hash_text(std::string_view text);

[[nodiscard]] service_id
make_service_id(std::string_view organisation, std::string_view service);

[[nodiscard]] organisation_id make_organisation_id(std::string_view name);

[[nodiscard]] failure_domain_id make_failure_domain_id(std::string_view name);

} // namespace cairnhead
