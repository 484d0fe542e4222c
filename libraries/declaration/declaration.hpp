#pragma once

#include <declaration/declaration_error.hpp>
#include <declaration/selector.hpp>
#include <model/directory.hpp>
#include <yaml/yaml_value.hpp>

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// The documents that operators publish, and what they come to together.
namespace cairnhead
{

/// Name of the document that allots addresses to organisations.
inline constexpr std::string_view allotment_document_name = "allotment";

/// Prefix of the names of organisations' documents.
inline constexpr std::string_view organisation_document_prefix =
    "organisations/";

/// Bounds on one document. Matching costs services times upstreams times
/// requirements on every VM; without bounds one organisation's document
/// could hold up the decisions for all of them.
inline constexpr std::size_t maximum_services = 256;
inline constexpr std::size_t maximum_upstreams = 4096;

/// A range of IPv4 addresses, `198.51.100.0/28`.
struct address_range
{
    ipv4_address first;
    std::uint8_t prefix_length = 32;

    [[nodiscard]] bool contains(ipv4_address address) const;
};

/// What one organisation may use.
struct organisation_allotment
{
    std::string organisation;
    std::vector<address_range> service_addresses;
    std::vector<address_range> upstream_addresses;
};

/// The document above the organisations.
struct allotment
{
    std::vector<organisation_allotment> organisations;

    [[nodiscard]] organisation_allotment const*
    find(std::string_view organisation) const;
};

/// A service as declared: its upstreams are still a selector.
struct declared_service
{
    service declared;
    selector picks;
    /// Where its address stands in the document.
    document_place place{};
};

/// One organisation's document.
struct organisation_document
{
    std::string organisation;
    std::vector<declared_service> services;
    std::vector<upstream> upstreams;
    /// Where the upstreams' addresses stand in the document, by name.
    std::map<std::string, document_place, std::less<>> upstream_places{};
};

/// Reads an organisation's document. Throws `declaration_rejected` with every
/// error found. Thread safety: no shared state.
[[nodiscard]] organisation_document parse_organisation(std::string_view text);

/// Reads the allotment. Throws `declaration_rejected` with every error found.
/// Thread safety: no shared state.
[[nodiscard]] allotment parse_allotment(std::string_view text);

/// What the document claims that was not allotted to its organisation, or
/// twice within itself; empty when it may be used. Thread safety: no shared
/// state.
[[nodiscard]] std::vector<declaration_error> check_against_allotment(
    organisation_document const& document, allotment const& allotted);

/// The upstreams of the document that the selector picks, sorted by id.
[[nodiscard]] std::vector<upstream_id>
pick_upstreams(selector const& picks, std::span<upstream const> upstreams);

/// All documents together. Precondition: each passed
/// `check_against_allotment`, and allotments do not overlap.
[[nodiscard]] directory
compile_directory(std::span<organisation_document const> documents);

} // namespace cairnhead
