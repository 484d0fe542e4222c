#include "long_flow.hpp"

#include <csignal>

/// A flow whose opening two hosts got, as one datagram was lost, and which then
/// pauses. Meanwhile all machines are stopped and started in turn, as planned.
/// The flow's next request must reach its host.
namespace review
{

namespace
{

/// Between two machines, as in the users' days with all machines in turn.
constexpr auto turn = 2000ms;

} // namespace

int run_rolling_restart(world::arguments const& given)
{
    world all(given);
    all.publish(8, offers_route(all));
    all.start();
    all.events.run_for(3000ms);
    serve_short_flows(all, 40);
    long_flow const kept = open_long_flow(all, all.has_trouble);
    // The next request comes while the other host still repeats its answer to
    // the opening. Then the caller pauses for less than `idleTimeoutMs`.
    all.events.run_for(6000ms);
    request_on(all, kept, "long-2");
    if (kept.flow->answers != 2)
        give_up("the second request was not answered");
    all.events.run_for(500ms);
    std::string const machine_of_flow = kept.flow->machine;
    time_point const begin = clock::now();
    auto const stop = [&](std::string const& name)
    {
        if (all.has_trouble)
            all.machines->kill(name, SIGTERM);
    };
    for (machine const& one : all.machines->all())
    {
        if (one.name == machine_of_flow)
            continue;
        stop(one.name);
        all.events.run_for(turn);
    }
    stop(machine_of_flow);
    // The pause must stay below `idleTimeoutMs`.
    all.events.run_for(2500ms);
    bool const are_back = all.events.run_until(
        [&]
        {
            return all.machines->are_all_in_rotation() &&
                   (!all.has_trouble || all.machines->have_all_started(begin));
        },
        1700ms);
    if (!are_back)
        give_up("the machines did not come back");
    request_on(all, kept, "long-3");
    return judge(all, kept);
}

} // namespace review
