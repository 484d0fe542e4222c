#include <tagging/priority_admission.hpp>

#include <algorithm>

namespace cairnhead
{

namespace
{

using std::chrono_literals::operator""s;

/// How long the mix of openings is remembered. At a few openings per second and
/// VM a shorter time would leave too few of them.
constexpr duration mix_memory = 2s;

/// Every priority keeps a tenth of its openings, as their answers show when
/// the queue is empty again, and so that no service is cut off by others.
constexpr double largest_share = 0.9;

} // namespace

void priority_admission::record_opening(time_point now, std::uint8_t priority)
{
    this->openings.try_emplace(priority, mix_memory)
        .first->second.add(now, 1.0);
}

double priority_admission::refusal_share(
    time_point now, std::uint8_t priority, double share) const
{
    auto const asked = this->openings.find(priority);
    double const asked_openings =
        asked == this->openings.end() ? 0.0 : asked->second.at(now);
    if (asked_openings <= 0)
        return share;
    double to_refuse = 0;
    for (auto const& [each, count] : this->openings)
        to_refuse += share * count.at(now);
    // Above the largest share, refusing less would let the load as a whole
    // rise, so all priorities are refused alike.
    double const limit = std::max(share, largest_share);
    for (auto const& [each, count] : this->openings)
    {
        if (each == priority)
            break;
        to_refuse -= std::min(to_refuse, limit * count.at(now));
    }
    return std::min(to_refuse / asked_openings, limit);
}

} // namespace cairnhead
