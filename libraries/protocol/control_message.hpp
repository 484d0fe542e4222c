#pragma once

#include <protocol/member_update.hpp>
#include <protocol/pin_claim.hpp>
#include <rating/request_observation.hpp>
#include <registry/tag.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// The control messages between entry VMs. Each fits one datagram of at most
/// `maximum_control_bytes`; senders split longer lists.
namespace cairnhead
{

/// Payload bound of one control datagram, below a usual MTU.
inline constexpr std::size_t maximum_control_bytes = 1200;

/// Are you there? Carries claims and the digest of the sender's documents.
struct ping
{
    std::uint32_t sequence = 0;
    std::uint64_t documents_digest = 0;
    std::vector<member_update> updates;

    bool operator==(ping const&) const = default;
};

/// The answer to `ping`; `subject` differs from the sender when it is relayed
/// for a `ping_request`.
struct ping_answer
{
    std::uint32_t sequence = 0;
    vm_id subject;
    std::uint64_t documents_digest = 0;
    std::vector<member_update> updates;

    bool operator==(ping_answer const&) const = default;
};

/// Please ping `target` for me: I cannot reach it.
struct ping_request
{
    std::uint32_t sequence = 0;
    vm_id target;
    std::vector<member_update> updates;

    bool operator==(ping_request const&) const = default;
};

/// Whether a listing asks the receiver to answer with its own.
enum class listing_kind : std::uint8_t
{
    request = 0,
    answer = 1,
};

/// All members the sender knows (in parts): joins and healing use it.
struct member_listing
{
    listing_kind kind = listing_kind::request;
    std::vector<member_update> members;

    bool operator==(member_listing const&) const = default;
};

/// One document and the highest version of it that the sender has.
struct document_stamp
{
    std::string name;
    document_version version;

    bool operator==(document_stamp const&) const = default;
};

/// The documents the sender has (in parts). The receiver fetches newer ones
/// and, for a request, answers with its own list.
struct document_listing
{
    listing_kind kind = listing_kind::request;
    std::vector<document_stamp> documents;
    /// These documents show all that the platform published up to here; zero
    /// where the sender does not know.
    platform_index complete_up_to{};

    bool operator==(document_listing const&) const = default;
};

/// The documents of a registry.
enum class registry_document : std::uint8_t
{
    routes = 0,
    upstreams = 1,
    evacuations = 2,
};

/// A registry's document changed. Goes down the tree that its origin is the
/// root of, so that each VM of the failure domain gets it once.
struct registry_change
{
    registry_document document = registry_document::routes;
    document_version version;
    /// Who learned of it first in the failure domain.
    vm_id origin;
    /// What changed; empty when it is too long for a datagram and has to be
    /// fetched from the sender.
    std::string text;

    bool operator==(registry_change const&) const = default;
};

/// The platform has just answered the sender, which reads it for others. Its
/// documents are those from before this answer: what differs here was missed.
struct reading_heartbeat
{
    std::uint64_t documents_digest = 0;
    /// These documents show all that the platform published up to here; zero
    /// where the sender does not know.
    platform_index complete_up_to{};

    bool operator==(reading_heartbeat const&) const = default;
};

/// The sender calls the platform now, as it heard of nobody whom the platform
/// answers.
struct reading_attempt
{
    bool operator==(reading_attempt const&) const = default;
};

/// A VM that has just started asks where to get documents, or tells that it has
/// some.
struct join_request
{
    failure_domain_id domain;
    /// Others of its domain may be sent to it; it asks whether there are newer
    /// ones.
    bool has_documents = false;
    /// Another VM sent the joiner here: it waits here for its turn.
    bool is_referred = false;
    /// How often it asked before.
    std::uint32_t attempt = 0;

    bool operator==(join_request const&) const = default;
};

/// Whom a joiner is to ask instead.
struct join_referral
{
    /// Without any the joiner waits in the sender's line.
    std::vector<vm_id> holders;
    /// Nobody of its failure domain is known who has the documents: it is to
    /// read the platform, and others are sent to it.
    bool is_to_read = false;

    bool operator==(join_referral const&) const = default;
};

/// Pins of idle flows, copied to where they now belong.
struct pin_batch
{
    std::vector<pin_claim> pins;

    bool operator==(pin_batch const&) const = default;
};

/// What an upstream's health endpoint said of it.
enum class upstream_condition : std::uint8_t
{
    healthy = 0,
    draining = 1,
    /// It asks for less work.
    shedding = 2,
    /// The probe failed or said so.
    failed = 3,
};

/// One probe result, as spread by the VMs that probe.
struct upstream_report
{
    upstream_id upstream;
    upstream_condition condition = upstream_condition::healthy;
    /// Load as the upstream tells it, 1000 = all slots busy. Not trusted.
    std::uint16_t load_permille = 0;
    /// Age of the observation when the message was sent, milliseconds.
    std::uint32_t age_milliseconds = 0;

    bool operator==(upstream_report const&) const = default;
};

struct upstream_report_listing
{
    std::vector<upstream_report> reports;

    bool operator==(upstream_report_listing const&) const = default;
};

/// Which upstream has this flow? A packet of it reached the sender, which does
/// not know the flow, and the packet's tag is provisional or unknown.
struct flow_lookup
{
    flow_id flow;
    /// The packet's tag. The VM that placed the opening can tell which upstream
    /// it names.
    upstream_tag tag;
    /// The packet's acknowledgement number, which tells the flow from an
    /// earlier one between the same ports.
    std::uint32_t acknowledged = 0;

    bool operator==(flow_lookup const&) const = default;
};

/// This upstream has the flow: the answer to `flow_lookup`. Sent unasked for a
/// flow whose opening several upstreams may hold, when its caller has confirmed
/// one of them.
struct flow_binding
{
    flow_id flow;
    upstream_tag upstream;
    /// As in `flow_lookup`.
    std::uint32_t acknowledged = 0;

    bool operator==(flow_binding const&) const = default;
};

/// Requests of which the sender saw the end, for the VM that collects the
/// observations of their upstreams.
struct upstream_observation_listing
{
    std::vector<request_observation> observations;
    /// Share of the sender's observations of usual answers, and of its other
    /// observations, that fits into its budget of messages.
    std::uint16_t usual_sampled_permille = 1000;
    std::uint16_t notable_sampled_permille = 1000;

    bool operator==(upstream_observation_listing const&) const = default;
};

/// How an upstream performs compared with its pool. Zero milliseconds of
/// lifetime end an earlier rating.
struct announced_rating
{
    upstream_tag upstream;
    std::uint16_t relative_permille = 1000;
    std::uint16_t short_permille = 0;
    std::uint16_t work_permille = 0;
    bool is_ejected = false;
    std::uint16_t lifetime_milliseconds = 0;

    bool operator==(announced_rating const&) const = default;
};

/// Ratings on their way through a failure domain. Goes from the VM that
/// collects observations to one that disseminates ratings, and from there down
/// the tree that this VM is the root of.
struct upstream_rating_listing
{
    /// The root of the tree; zero while no VM disseminates the listing.
    vm_id origin;
    /// Distinguishes the listings of one origin.
    std::uint32_t sequence = 0;
    std::vector<announced_rating> ratings;

    bool operator==(upstream_rating_listing const&) const = default;
};

/// Everything one VM can say to another besides callers' packets.
using control_body = std::variant<
    ping,
    ping_answer,
    ping_request,
    member_listing,
    document_listing,
    pin_batch,
    upstream_report_listing,
    registry_change,
    reading_heartbeat,
    join_request,
    join_referral,
    reading_attempt,
    flow_lookup,
    flow_binding,
    upstream_observation_listing,
    upstream_rating_listing>;

struct control_message
{
    vm_id sender;
    control_body body;

    bool operator==(control_message const&) const = default;
};

} // namespace cairnhead
