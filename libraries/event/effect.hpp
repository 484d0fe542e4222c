#pragma once

#include <base/time.hpp>
#include <event/flow_decision.hpp>
#include <model/service.hpp>
#include <protocol/control_message.hpp>
#include <protocol/peer_frame.hpp>
#include <registry/registry_snapshot.hpp>
#include <registry/tag.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Everything that the reducer can ask of the runtime. Effects are data; each
/// packet token ends in exactly one of the packet effects.
namespace cairnhead
{

/// Why a packet was dropped. Each has a counter.
enum class drop_reason : std::uint8_t
{
    unknown_destination,
    unknown_flow,
    no_upstream,
    not_ready,
    view_expired,
    visited_too_many,
    table_full,
    /// The frame named a service that is not the packet's.
    service_mismatch,
    /// A reset or ongoing packet was refused by policy.
    refused_silently,
    /// Neither the flow's owner nor its backup can be reached now.
    owner_unreachable,
    /// The flow's upstream cannot be reached; the caller was told.
    upstream_unreachable,
};

/// Why an opening was refused. Each has a counter per organisation.
enum class refusal_reason : std::uint8_t
{
    organisation_limit,
    service_limit,
    flow_limit,
    table_full,
    no_healthy_upstream,
    upstreams_full,
    leaving,
};

/// Send the packet to an upstream.
struct send_to_upstream
{
    packet_token token;
    upstream_id upstream;
};

/// Send a packet that carries a tag to an upstream, with this tag.
struct send_tagged
{
    packet_token token;
    tagged_target target;
    upstream_tag tag;
};

/// End a flow at its caller: its upstream cannot be reached, and the caller
/// would wait in vain until its own time is over. Comes as a check ends.
struct reset_known_flow
{
    endpoint caller;
    endpoint destination;
    /// What the caller acknowledged last: it takes only a reset near that.
    std::uint32_t acknowledged = 0;
};

/// Where something listens that should answer.
struct connection_target
{
    ipv4_address address;
    std::uint16_t port = 0;

    bool operator==(connection_target const&) const = default;
};

/// Find out whether an upstream can be reached at all, by connecting to it;
/// exactly one `upstream_checked` answers. Witnesses, other upstreams, are
/// connected to at the same time: while none of them answers, it may be this
/// VM that is late, or the way to all upstreams that is held up.
struct check_upstream
{
    upstream_tag upstream;
    connection_target suspect;
    std::vector<connection_target> witnesses;
    /// Of the upstream; comes back with the result.
    incarnation life{};
};

/// The reducer has kept a copy of the packet, which it sends by `send_copy` or
/// drops later.
struct keep_copy
{
    packet_token token;
};

/// Send the copy of a packet that arrived earlier. No packet waits for it.
struct send_copy
{
    std::vector<std::uint8_t> bytes;
    tagged_target target;
    upstream_tag tag;
};

/// Hand the packet to another VM.
struct send_to_peer
{
    packet_token token;
    vm_id target;
    peer_frame frame;
};

/// Tell the caller that its opening was not run. No packet of it that carries
/// data was sent towards any upstream. (A SYN without data may have been, long
/// ago, if nobody ever answered it: that runs nothing.)
struct refuse_opening
{
    packet_token token;
    organisation_id organisation;
    refusal_style style = refusal_style::reset;
    refusal_reason reason = refusal_reason::service_limit;
    /// When the caller may come back.
    time_point retry_at;
};

/// Forget the packet.
struct drop_packet
{
    packet_token token;
    drop_reason reason = drop_reason::unknown_flow;
};

/// Send a control message to another VM. The runtime authenticates it.
struct send_control
{
    vm_id target;
    control_body body;
};

/// How much of the platform a reader that knows nothing may read.
enum class reading_extent : std::uint8_t
{
    /// Everything, if it is one page; a single call tells.
    one_page,
    everything,
};

/// Start one blocking watch of the platform; exactly one `platform_listed` or
/// `platform_failed` answers it.
struct watch_platform
{
    platform_index after;
    duration wait{};
    /// What is known from others: a reader can go on from there, and need not
    /// read everything.
    std::optional<registry_snapshot> known{};
    reading_extent extent = reading_extent::everything;
};

/// Read the platform's upstreams in a hurry, from any of its replicas; at most
/// one `upstreams_read` answers it. None comes when the read fails or the
/// platform has too many upstreams.
struct read_upstreams
{
};

/// Fetch a document; exactly one `document_fetched` or
/// `document_fetch_failed` answers it.
struct fetch_document
{
    /// Absent: from the platform.
    std::optional<vm_id> source;
    std::string name;
    /// The least version that is of use.
    document_version version;
    /// The version held here, zero for none: what changed since is enough.
    document_version held{};
};

/// Probe an upstream's health endpoint; exactly one `upstream_probed` answers.
struct probe_upstream
{
    upstream_id upstream;
    std::uint16_t health_port = 0;
};

/// The caller confirmed an opening: for the histograms.
struct observe_handshake
{
    organisation_id organisation;
    flow_class traffic = flow_class::form;
    duration latency{};
};

/// The planned leave is complete: the process may exit.
struct leave_complete
{
};

/// What operators see in the log, one line each.
enum class report_kind : std::uint8_t
{
    member_joined,
    /// Members that a VM learned of as it joined or woke.
    members_listed,
    member_suspected,
    member_died,
    member_left,
    view_expired,
    view_refreshed,
    ready,
    started_alone,
    document_in_force,
    document_rejected,
    platform_unreachable,
    platform_reachable,
    platform_stale,
    upstream_ejected,
    upstream_restored,
    domain_unreachable,
    domain_reachable,
    upstream_unreachable,
    upstream_reachable,
    /// This VM was told to stop, and lets others of its domain go first.
    leave_awaits_turn,
    leave_started,
    leave_finished,
    pin_conflict,
    /// An upstream left an opening unanswered, and is spared for a while.
    upstream_avoided,
    /// This VM begins or ends to read the platform.
    reading_started,
    reading_stopped,
    /// No VM of a failure domain says anything, or one does again.
    domain_silent,
    domain_heard,
    /// Upstreams that this VM collects observations of: one answers errors or
    /// refuses, unlike others of its pool, or does so no more.
    upstream_outlier_ejected,
    upstream_outlier_restored,
    /// A share of a pool's openings goes to other failure domains, or no more.
    spill_started,
    spill_stopped,
};

/// A belief's input: what it is, and what it was.
struct report_fact
{
    /// Precondition: a constant of the program, without spaces.
    std::string_view key;
    std::string value;
};

/// One thing worth a log line.
struct report
{
    report_kind kind = report_kind::ready;
    /// A VM, upstream or document, as text; may be empty.
    std::string subject;
    /// More of it, as text; may be empty.
    std::string detail;
    /// What decided it.
    std::vector<report_fact> facts{};
};

using effect = std::variant<
    send_to_upstream,
    send_tagged,
    reset_known_flow,
    keep_copy,
    send_copy,
    check_upstream,
    send_to_peer,
    refuse_opening,
    drop_packet,
    send_control,
    watch_platform,
    read_upstreams,
    fetch_document,
    probe_upstream,
    observe_handshake,
    leave_complete,
    report,
    flow_decision>;

using effect_list = std::vector<effect>;

} // namespace cairnhead
