#pragma once

#include <base/identifiers.hpp>
#include <base/time.hpp>

#include <absl/container/flat_hash_map.h>
#include <cstdint>

namespace cairnhead
{

/// Decides when a flow whose pin cannot be found may go to the predicted
/// upstream. A wrong prediction resets a living flow, while a dropped packet
/// is repeated by the caller and may reach a VM that has the pin. So only
/// flows that stay unknown through several repetitions in a short time pass:
/// then, most likely, no VM that the fabric reaches knows them any more.
/// Thread safety of all methods: none; one thread, the reducer's.
class prediction_gate
{
public:
    /// Notes that the flow was unknown once more; whether it may be
    /// predicted now. No precondition.
    [[nodiscard]] bool may_predict(time_point now, flow_id flow);

    /// Forgets flows that were not unknown again in time. No precondition.
    void forget_old(time_point now);

private:
    struct sighting
    {
        std::uint32_t count = 0;
        time_point forget_at;
    };

    absl::flat_hash_map<flow_id, sighting> sightings;
};

} // namespace cairnhead
