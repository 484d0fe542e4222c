#pragma once

#include <model/directory.hpp>
#include <reducer/reducer_view.hpp>
#include <tagging/tag_router.hpp>

#include <memory>
#include <string>
#include <vector>

/// What the command line shows of flows whose packets carry tags, in the
/// terms that it has for declarations.
namespace cairnhead
{

/// `registry/POOL`, or with the pools' shares for a split route. No
/// precondition. Thread safety: no shared state.
[[nodiscard]] std::string name_service(published_route const& route);

/// The registry's routes as services, named after their pools, and its
/// upstreams. Upstreams that left the registry are not shown. No
/// precondition. Thread safety: no shared state.
[[nodiscard]] std::shared_ptr<directory const> make_shown_directory(
    route_listing const& routes, std::span<tagged_upstream const> upstreams);

/// How the upstreams do, sorted by id. No precondition. Thread safety: no
/// shared state.
[[nodiscard]] std::vector<shown_upstream>
make_shown_upstreams(std::span<upstream_candidate const> registered);

} // namespace cairnhead
