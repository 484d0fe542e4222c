#pragma once

#include <base/time.hpp>
#include <protocol/control_message.hpp>
#include <protocol/peer_frame.hpp>
#include <registry/tag.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

/// Everything that can happen to one VM of the system. Each event carries the
/// time at which it happened; the reducer has no clock of its own.
namespace cairnhead
{

struct upstream_listing;

/// What a caller's packet means for its flow.
enum class packet_phase : std::uint8_t
{
    /// TCP SYN without data: nothing that could run twice.
    opening,
    /// TCP SYN that carries data (fast open).
    opening_with_data,
    /// TCP segment of a flow that exists already.
    ongoing,
    /// TCP FIN: the caller will send nothing more.
    closing,
    /// TCP RST from the caller.
    reset,
    /// UDP: it may open a flow or belong to one.
    datagram,
};

/// Whether a packet of this phase asks for a new flow.
[[nodiscard]] constexpr bool is_opening_phase(packet_phase phase)
{
    return phase == packet_phase::opening ||
           phase == packet_phase::opening_with_data;
}

/// How far the two directions of a flow have come, as a packet tells it. Where
/// it stays behind, one side no longer hears the other.
struct flow_progress
{
    /// Number of the packet's first byte.
    std::uint32_t sequence = 0;
    /// Number of the next byte that the caller expects from its upstream.
    std::uint32_t acknowledged = 0;
    bool has_data = false;
};

/// A caller's packet arrived: from the fabric (no frame) or from another VM.
struct packet_arrived
{
    flow_id flow;
    endpoint destination;
    packet_phase phase = packet_phase::ongoing;
    packet_token token;
    std::optional<peer_frame> frame;
    /// Absent where the fabric's packets carry no tags. Zero in an opening.
    std::optional<upstream_tag> tag{};
    /// With a tag only: the caller's address and port.
    endpoint source{};
    /// With a tag only.
    flow_progress progress{};
    /// With a tag only: the whole packet, of which a copy may be sent later.
    /// Valid during the call.
    std::span<std::uint8_t const> bytes{};
    /// With a tag only: how long it waited in this VM's socket.
    duration waited{};
};

/// An authenticated control message arrived.
struct control_arrived
{
    control_message message;
};

/// Time passed. The runtime sends one every `tick_period`.
struct tick
{
};

/// How often the runtime sends `tick`.
inline constexpr auto tick_period = std::chrono::milliseconds(100);

/// The moment that `reducer::next_due` named has come.
struct deadline_reached
{
};

/// How an attempt to connect to an upstream ended.
enum class connection_outcome : std::uint8_t
{
    connected,
    /// Its machine answered that nobody listens.
    refused,
    /// Nothing came back in time, while others answered this VM.
    unanswered,
    /// Nothing came back, nor from others: it may be this VM that is late.
    inconclusive,
};

/// A `check_upstream` ended.
struct upstream_checked
{
    upstream_tag upstream;
    connection_outcome outcome = connection_outcome::connected;
    /// Which start of the upstream was checked.
    incarnation life{};
};

/// The operator changed the settings: VMs to ask may be found there.
struct seeds_changed
{
    std::vector<vm_id> seeds;
};

/// The process started; always the first event.
struct started
{
    /// When the process started, wall-clock milliseconds since 1970: higher
    /// than in any earlier life of this VM. See `first_incarnation`.
    std::uint64_t wall_clock_milliseconds = 0;
};

/// The operator asked for a planned leave.
struct leave_requested
{
};

/// The platform answered a watch.
struct platform_listed
{
    platform_index index;
    std::vector<document_stamp> documents;
    /// The platform's lagging list of VMs, as addresses.
    std::vector<vm_id> vms;
    /// There is more than was to be read: nothing is listed.
    bool is_beyond_extent = false;
};

/// A platform call failed.
struct platform_failed
{
};

/// The platform answered a call, whatever came of it; a watch may be many.
struct platform_answered
{
    /// What had been read before this call, up to where, and which documents
    /// came of it; zero where that is not told.
    platform_index complete_up_to{};
    document_version routes{};
    document_version upstreams{};
    document_version evacuations{};
};

/// A read of the platform's upstreams ended. Their listing may be seconds old
/// and has no version.
struct upstreams_read
{
    std::shared_ptr<upstream_listing const> listing;
};

/// A document's text arrived.
struct document_fetched
{
    /// Absent when the platform sent it.
    std::optional<vm_id> source;
    std::string name;
    document_version version;
    std::string text;
};

/// A document could not be had.
struct document_fetch_failed
{
    std::optional<vm_id> source;
    std::string name;
};

/// A probe of an upstream ended. `age_milliseconds` is zero.
struct upstream_probed
{
    upstream_report report;
};

struct event
{
    using body_type = std::variant<
        packet_arrived,
        control_arrived,
        tick,
        deadline_reached,
        upstream_checked,
        seeds_changed,
        started,
        leave_requested,
        platform_listed,
        platform_failed,
        platform_answered,
        upstreams_read,
        document_fetched,
        document_fetch_failed,
        upstream_probed>;

    time_point now;
    body_type body;
};

} // namespace cairnhead
