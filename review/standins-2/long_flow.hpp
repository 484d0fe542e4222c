#pragma once

#include "world.hpp"

namespace review
{

constexpr std::uint16_t offers_port = 8443;

/// A machine is in touch when it has run for so long.
constexpr auto contact_time = 4000ms;

/// A flow that stays open for many requests, and the host that holds it.
struct long_flow
{
    caller::flow_ptr flow;
    host const* holder = nullptr;
};

/// The only route: requests that must not run twice.
std::vector<route> offers_route(world const& all);

/// Serves short flows, one after the other, so that the machines know that the
/// packets of the flows that they place come back to them.
void serve_short_flows(world& all, int number);

/// Opens a flow and has a request answered. With `loses_answer` the network
/// loses one datagram: the first host's answer to the opening.
long_flow open_long_flow(world& all, bool loses_answer);

/// Sends one more request, and waits for its answer.
void request_on(world& all, long_flow const& on, std::string const& attempt);

/// Returns 1 if the caller got a reset that the flow's host didn't send, though
/// that host holds the flow; 0 if not.
int judge(world& all, long_flow const& of);

} // namespace review
