#pragma once

#include <base/identifiers.hpp>
#include <base/time.hpp>
#include <event/event.hpp>
#include <registry/registry.hpp>

#include <cstdint>

/// What callers and upstreams of an emulated fleet send each other: TCP as far
/// as a load balancer is concerned. A request or answer is one packet.
namespace cairnhead::emulator
{

/// Bytes of a request and of an answer. Each flow's numbers begin at zero with
/// the opening, which counts as one byte.
inline constexpr std::uint32_t request_bytes = 100;
inline constexpr std::uint32_t answer_bytes = 1000;

/// The most bytes of an answer that one packet carries.
inline constexpr std::uint32_t packet_bytes = 1200;

/// How many bytes of an answer are acknowledged at once. Endpoints acknowledge
/// every second packet; a single last packet is acknowledged by whatever the
/// caller sends next. No precondition.
[[nodiscard]] constexpr std::uint32_t
acknowledged_at_once(std::uint32_t answer_length)
{
    std::uint32_t const packets =
        (answer_length + packet_bytes - 1) / packet_bytes;
    return packets % 2 == 0 ? answer_length : (packets - 1) * packet_bytes;
}

/// One connection, from its opening to its end; a number is never used again.
using flow_number = strong_value<struct flow_number_tag, std::uint32_t>;

/// From a caller to an upstream, by way of some VM.
struct caller_packet
{
    flow_number flow{};
    packet_phase phase = packet_phase::opening;
    upstream_tag tag{};
    flow_progress progress{};
    /// Which request of the flow its data is.
    std::uint32_t request = 0;
    /// How long the request keeps a slot busy; zero for the upstream's own
    /// service time.
    duration work{};
    std::uint32_t answer_length = answer_bytes;
};

enum class answer_kind : std::uint8_t
{
    /// SYN and ACK.
    opened,
    /// The request arrived.
    acknowledged,
    answered,
    /// RST: the upstream does not have the flow.
    reset,
};

/// What an answer says of the request.
enum class answer_status : std::uint8_t
{
    served,
    /// The upstream's queue was full, and the request was not run.
    overflowed,
    /// An error.
    failed,
};

/// From an upstream to a caller, past the VMs.
struct upstream_packet
{
    flow_number flow;
    instance_number sender;
    answer_kind kind = answer_kind::opened;
    /// Number of its first byte.
    std::uint32_t sequence = 0;
    std::uint32_t request = 0;
    /// The tag of the last packet of the flow that reached the upstream.
    upstream_tag tag{};
    answer_status status{};
    /// Length of an answer.
    std::uint32_t bytes = answer_bytes;
};

} // namespace cairnhead::emulator
