#pragma once

#include <base/identifiers.hpp>

#include <cstdint>

namespace cairnhead
{

/// How far a flow has come, as far as the caller's packets show it.
enum class pin_state : std::uint8_t
{
    /// The opening was sent to an upstream; the caller has not yet confirmed.
    opening = 0,
    /// The caller confirmed an answer, so exactly this upstream has the flow.
    established = 1,
    /// The caller sent FIN or RST.
    closing = 2,
};

/// A pin as it travels between VMs: this flow of this service is at this
/// upstream.
struct pin_claim
{
    flow_id flow;
    service_id service;
    upstream_id upstream;
    pin_state state = pin_state::opening;

    bool operator==(pin_claim const&) const = default;
};

} // namespace cairnhead
