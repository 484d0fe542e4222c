#include <reducer/prediction_gate.hpp>

namespace cairnhead
{

namespace
{

/// Packets of one flow that must be unknown in a row. A TCP caller repeats
/// after its retransmission timeout, doubling, so this takes about a second.
constexpr std::uint32_t needed_sightings = 4;

/// The next one must follow within this time.
constexpr auto sighting_lifetime = std::chrono::seconds(5);

/// Bounds the memory that a flood of unknown flows can take; beyond it they
/// are dropped and never predicted.
constexpr std::size_t maximum_sightings = 65'536;

} // namespace

bool prediction_gate::may_predict(time_point now, flow_id flow)
{
    auto const found = this->sightings.find(flow);
    if (found == this->sightings.end())
    {
        if (this->sightings.size() < maximum_sightings)
            this->sightings.try_emplace(
                flow, sighting{1, now + sighting_lifetime});
        return false;
    }
    sighting& seen = found->second;
    if (seen.forget_at < now)
        seen.count = 0;
    ++seen.count;
    seen.forget_at = now + sighting_lifetime;
    return seen.count >= needed_sightings;
}

void prediction_gate::forget_old(time_point now)
{
    absl::erase_if(
        this->sightings,
        [now](auto const& entry)
        {
            return entry.second.forget_at < now;
        });
}

} // namespace cairnhead
