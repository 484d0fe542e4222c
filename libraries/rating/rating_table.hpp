#pragma once

#include <rating/upstream_rating.hpp>

#include <absl/container/flat_hash_map.h>
#include <cstddef>
#include <optional>

namespace cairnhead
{

/// The ratings that this VM knows. An upstream without one performs as usual.
/// No method has a precondition; none is thread-safe: only the reducer's thread
/// calls them.
class rating_table
{
public:
    /// The rating in force, if any.
    [[nodiscard]] std::optional<upstream_rating>
    find(time_point now, upstream_tag upstream) const;

    /// Replaces the upstream's rating. One that has expired removes it.
    void apply(time_point now, upstream_rating const& rating);

    /// Removes the rating of an upstream that restarted or left.
    void remove(upstream_tag upstream);

    /// Removes the ratings that have expired.
    void expire(time_point now);

    /// How many ratings are in force.
    [[nodiscard]] std::size_t count_in_force(time_point now) const;

    /// How many ratings there are, expired ones included.
    [[nodiscard]] std::size_t size() const;

private:
    absl::flat_hash_map<upstream_tag, upstream_rating> ratings;
};

} // namespace cairnhead
