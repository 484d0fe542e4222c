#pragma once

#include <base/time.hpp>
#include <model/service.hpp>
#include <protocol/control_message.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// What a running daemon tells operators. The types are apart from those of
/// the reducer, since a command line client of another release reads them.
namespace cairnhead
{

/// Where a VM is in its life.
enum class vm_state : std::uint8_t
{
    /// It does not know the highest versions yet and places nothing new.
    joining,
    serving,
    leaving,
    /// The process was paused and waits for a peer to confirm its view.
    view_expired,
};

/// Callers' packets since the process started.
struct packet_totals
{
    std::uint64_t to_upstream = 0;
    std::uint64_t to_peer = 0;
    std::uint64_t dropped = 0;
    std::uint64_t refused = 0;

    bool operator==(packet_totals const&) const = default;
};

/// A document in force.
struct document_answer
{
    std::string name;
    document_version version;
    /// Since when it is in force on this VM, where that is known.
    std::optional<std::chrono::milliseconds> age;

    bool operator==(document_answer const&) const = default;
};

struct status_answer
{
    vm_id vm;
    std::string failure_domain;
    vm_state state = vm_state::joining;
    std::uint64_t uptime_seconds = 0;
    std::uint64_t pins = 0;
    std::uint32_t members_alive = 0;
    std::uint32_t members_suspect = 0;
    std::uint32_t members_dead = 0;
    std::vector<document_answer> documents;
    std::uint64_t documents_generation = 0;
    /// Whether this VM watches the platform for its failure domain.
    bool is_reader = false;
    packet_totals packets;
    std::vector<std::string> evacuated_domains{};

    bool operator==(status_answer const&) const = default;
};

struct member_answer
{
    vm_id vm;
    std::string failure_domain;
    incarnation life;
    member_status status = member_status::alive;

    bool operator==(member_answer const&) const = default;
};

struct service_answer
{
    /// `organisation/name`.
    std::string name;
    endpoint address;
    flow_class traffic = flow_class::form;
    placement_preference prefer = placement_preference::balance;
    refusal_style refusal = refusal_style::reset;
    bool is_idempotent = false;
    /// How many upstreams its selector picks.
    std::uint32_t upstreams = 0;

    bool operator==(service_answer const&) const = default;
};

/// Whether an upstream takes new flows, and if not, why.
enum class shown_verdict : std::uint8_t
{
    ready,
    avoided,
    unreachable,
    domain_unreachable,
    missing,
    gone,
    draining,
    evacuated,
    cold,
    ejected,
};

/// How an upstream performs compared with what is usual, in thousandths.
struct rating_answer
{
    /// Answer time.
    std::uint16_t relative_permille = 0;
    /// Share of answers that were much shorter than usual.
    std::uint16_t short_permille = 0;
    /// Requests in progress or queued, by slots.
    std::uint16_t work_permille = 0;
    bool is_ejected = false;
    /// It is in force for this much longer.
    std::chrono::milliseconds in_force_for{};

    bool operator==(rating_answer const&) const = default;
};

/// What a VM believes of an upstream, with the evidence.
struct belief_answer
{
    shown_verdict verdict = shown_verdict::ready;
    /// Flows for each slot, in thousandths, as placement compares them.
    std::uint32_t load_permille = 0;
    /// Openings in a row that it left unanswered.
    std::uint32_t unanswered = 0;
    std::optional<std::chrono::milliseconds> answered_ago{};
    std::optional<std::chrono::milliseconds> silent_for{};
    /// It is spared for this much longer.
    std::optional<std::chrono::milliseconds> avoided_for{};
    std::optional<std::chrono::milliseconds> missing_for{};
    /// Absent where no rating is in force.
    std::optional<rating_answer> rating{};

    bool operator==(belief_answer const&) const = default;
};

struct upstream_answer
{
    upstream_id id;
    std::string name;
    std::string failure_domain;
    /// Flows that this VM owns there.
    std::uint32_t flows = 0;
    upstream_condition condition = upstream_condition::healthy;
    std::uint16_t reported_load_permille = 0;
    bool is_ejected = false;
    bool is_cold = false;
    /// Zero where it is not known.
    std::uint32_t slots = 0;
    /// Where flows carry tags.
    std::optional<belief_answer> belief;

    bool operator==(upstream_answer const&) const = default;
};

/// The flow that an operator asks about.
struct explain_question
{
    endpoint source;
    endpoint destination;

    bool operator==(explain_question const&) const = default;
};

/// Which rule decides about a flow's next packet on this VM.
enum class explained_rule : std::uint8_t
{
    /// This VM holds the pin.
    own_pin,
    /// Another VM owns the flow and is asked.
    ask_owner,
    /// This VM owns the flow and has no pin: earlier holders are asked.
    ask_earlier_holders,
    /// This VM owns the flow and nobody has a pin: an opening is placed.
    place_opening,
    unknown_destination,
};

struct explain_answer
{
    /// `organisation/name`; empty for an unknown destination.
    std::string service;
    /// Absent when no VM may own flows.
    std::optional<vm_id> owner;
    /// Absent when there is no second VM.
    std::optional<vm_id> backup;
    /// Absent when this VM has no pin.
    std::optional<upstream_id> pinned;
    explained_rule rule = explained_rule::unknown_destination;
    /// Absent when the retained versions differ.
    std::optional<upstream_id> predicted;
    std::uint64_t documents_generation = 0;

    /// Where flows carry tags: the upstreams that a new flow may get.
    std::string pool;
    std::vector<upstream_answer> candidates;
    /// Absent when none may take it.
    std::optional<upstream_id> would_get;
    std::vector<document_answer> documents;

    bool operator==(explain_answer const&) const = default;
};

} // namespace cairnhead
