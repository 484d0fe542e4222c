#include "long_flow.hpp"

#include <csignal>

/// A flow whose opening two hosts got, as one datagram was lost. Later all
/// processes of the system are killed at once, and started again. The flow's
/// next request must reach its host.
namespace review
{

int run_killed_machines(world::arguments const& given)
{
    world all(given);
    all.publish(8, offers_route(all));
    all.start();
    all.events.run_for(3000ms);
    serve_short_flows(all, 40);
    long_flow const kept = open_long_flow(all, all.has_trouble);
    // The next request comes while the other host still repeats its answer to
    // the opening. Then the caller pauses for less than `idleTimeoutMs`.
    all.events.run_for(6500ms);
    request_on(all, kept, "long-2");
    if (kept.flow->answers != 2)
        give_up("the second request was not answered");
    all.events.run_for(3500ms);
    if (all.has_trouble)
    {
        for (machine const& one : all.machines->all())
            all.machines->kill(one.name, SIGKILL);
    }
    all.events.run_for(500ms);
    if (all.has_trouble)
        all.machines->start_all();
    all.events.run_for(contact_time + 2000ms);
    if (!all.machines->are_all_in_rotation())
        give_up("the machines did not come back");
    request_on(all, kept, "long-3");
    return judge(all, kept);
}

} // namespace review
