#pragma once

#include <rating/upstream_rating.hpp>

#include <cstddef>
#include <span>
#include <vector>

namespace cairnhead
{

/// The upstreams to treat as ejected, sorted by tag, of those of one pool and
/// failure domain that are rated so; `known` is how many upstreams of the pool
/// the domain has. Never more than a fifth of them, those with the highest
/// share of short answers first, and none while fewer than five are known: the
/// others could not bear the load. Each VM applies this to the ratings that it
/// holds, since no collector sees the whole pool. No precondition. Thread
/// safety: no shared state.
[[nodiscard]] std::vector<upstream_tag> bound_ejections(
    std::span<upstream_rating const> rated_ejected, std::size_t known);

} // namespace cairnhead
