#pragma once

#include <base/time.hpp>
#include <registry/tag.hpp>

#include <cstdint>

namespace cairnhead
{

/// How an upstream performs compared with its pool, from the observations of
/// many VMs.
struct upstream_rating
{
    upstream_tag upstream;
    /// Answer time relative to the pool's usual one, in thousandths.
    std::uint16_t relative_permille = 1000;
    /// Share of answers that were much shorter than usual, in thousandths.
    std::uint16_t short_permille = 0;
    /// Requests in progress or queued, relative to the upstream's slots, in
    /// thousandths.
    std::uint16_t work_permille = 0;
    bool is_ejected = false;
    time_point expires_at;

    bool operator==(upstream_rating const&) const = default;
};

} // namespace cairnhead
