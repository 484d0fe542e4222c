#include "long_flow.hpp"

#include <csignal>

/// A flow whose opening two hosts got, as one datagram was lost, and which then
/// pauses. Meanwhile the machine that takes its packets is stopped and started
/// as planned. The flow's next request must reach its host.
namespace review
{

namespace
{

/// A configuration that keeps idle flows for longer than the usual one.
constexpr milliseconds idle_timeout{45'000};

} // namespace

int run_planned_restart(world::arguments const& given)
{
    world all(given);
    all.publish(8, offers_route(all), idle_timeout);
    all.start();
    all.events.run_for(3000ms);
    serve_short_flows(all, 40);
    long_flow const kept = open_long_flow(all, all.has_trouble);
    all.events.run_for(6500ms);
    request_on(all, kept, "long-2");
    if (kept.flow->answers != 2)
        give_up("the second request was not answered");
    std::string const machine_of_flow = kept.flow->machine;
    all.events.run_for(24'000ms);
    if (all.has_trouble)
        all.machines->kill(machine_of_flow, SIGTERM);
    // The process ends within `graceS`, and is started again.
    all.events.run_for(10'000ms);
    if (!all.machines->are_all_in_rotation())
        give_up("the machine did not come back");
    request_on(all, kept, "long-3");
    return judge(all, kept);
}

} // namespace review
