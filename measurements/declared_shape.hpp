#pragma once

#include <base/identifiers.hpp>
#include <model/directory.hpp>

#include <cstddef>
#include <string>
#include <vector>

/// Declarations of any size for measurements.
namespace cairnhead::measure
{

/// How much is declared, shared out evenly over the organisations.
struct declared_shape
{
    std::size_t organisations = 1;
    std::size_t services = 1;
    std::size_t upstreams = 14;
    std::string prefer = "balance";
};

/// A document of the platform.
struct named_document
{
    std::string name;
    std::string text;
};

/// The allotment, then one document for each organisation. Each service of an
/// organisation has the upstreams whose number leaves the service's remainder.
/// Precondition: at most 200 organisations, 256 services and 4,000 upstreams
/// for each. Thread safe.
[[nodiscard]] std::vector<named_document>
write_documents(declared_shape const& shape);

/// Reads documents as a VM does. Thread safe.
[[nodiscard]] directory
read_documents(std::vector<named_document> const& documents);

/// Address of the first organisation's first service.
[[nodiscard]] endpoint first_service_address();

/// Name of the failure domain at a position.
[[nodiscard]] std::string domain_name(std::size_t position);

} // namespace cairnhead::measure
