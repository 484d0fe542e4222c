#include <rating/ejection_bound.hpp>

#include <algorithm>
#include <utility>

namespace cairnhead
{

namespace
{

/// One of so many upstreams may be ejected.
constexpr std::size_t upstreams_per_ejection = 5;

} // namespace

std::vector<upstream_tag> bound_ejections(
    std::span<upstream_rating const> rated_ejected, std::size_t known)
{
    std::vector<upstream_rating> worst(
        rated_ejected.begin(), rated_ejected.end());
    // Upstreams that were ejected at the same time have equal shares often;
    // all VMs are to choose the same ones.
    std::ranges::sort(
        worst,
        [](upstream_rating const& one, upstream_rating const& other)
        {
            return std::pair(other.short_permille, one.upstream) <
                   std::pair(one.short_permille, other.upstream);
        });
    if (std::size_t const most = known / upstreams_per_ejection;
        worst.size() > most)
        worst.resize(most);
    std::vector<upstream_tag> chosen;
    chosen.reserve(worst.size());
    for (upstream_rating const& each : worst)
        chosen.push_back(each.upstream);
    std::ranges::sort(chosen);
    return chosen;
}

} // namespace cairnhead
