#pragma once

#include <base/time.hpp>
#include <rating/decayed_sum.hpp>

#include <cstdint>
#include <functional>
#include <map>

namespace cairnhead
{

/// Distributes the share of a pool's openings that has to be refused over the
/// priorities of routes, the least urgent ones first.
///
/// Load pattern: more requests than the upstreams can process, of routes that
/// differ in urgency. Refusing the same share of all refuses urgent requests
/// while less urgent ones are served.
///
/// The share of the load as a whole stays as it is: a priority is refused as
/// far as the openings to refuse exceed what refusing the less urgent ones
/// yields. Each VM distributes by the mix of openings that it has seen itself.
/// No method has a precondition; none is thread-safe: only the reducer's
/// thread calls them.
class priority_admission
{
public:
    /// Records an opening of a route with this priority; zero is the most
    /// urgent. Openings of routes without a priority are not recorded.
    void record_opening(time_point now, std::uint8_t priority);

    /// The share to refuse, from 0 to 1, of the openings with this priority, if
    /// `share` of all recorded openings has to be refused. Never rises with
    /// the urgency.
    [[nodiscard]] double
    refusal_share(time_point now, std::uint8_t priority, double share) const;

private:
    /// The least urgent priority first.
    std::map<std::uint8_t, decayed_sum, std::greater<>> openings;
};

} // namespace cairnhead
