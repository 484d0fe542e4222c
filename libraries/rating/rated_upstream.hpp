#pragma once

#include <base/identifiers.hpp>
#include <registry/tag.hpp>

#include <absl/functional/function_ref.h>
#include <cstdint>
#include <optional>
#include <string_view>

namespace cairnhead
{

/// What the registry tells of an upstream that its rating needs.
struct rated_upstream
{
    upstream_tag tag;
    instance_number instance;
    incarnation life{};
    failure_domain_id domain;
    std::uint32_t slots = 1;
    /// Valid until the next listing of the registry.
    std::string_view pool;
};

/// Finds an upstream; nothing for one that the registry does not list.
using upstream_lookup =
    absl::FunctionRef<std::optional<rated_upstream>(upstream_tag)>;

} // namespace cairnhead
