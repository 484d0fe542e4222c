#pragma once

#include <base/identifiers.hpp>
#include <base/time.hpp>
#include <registry/registry.hpp>

#include <cstdint>
#include <optional>
#include <string>

/// What a VM decided about a flow whose packets carry a tag, with what it
/// decided by. A flow's caller and route are its name: whoever has these finds
/// its lines in the logs of all VMs that its packets passed.
namespace cairnhead
{

/// What happened to the flow.
enum class flow_step : std::uint8_t
{
    /// Its opening was sent to an upstream.
    placed,
    /// Its opening was sent to another upstream as well.
    reoffered,
    /// The caller acknowledged an upstream's answer.
    confirmed,
    /// A packet came of a flow that was opened through another VM.
    taken_over,
    /// The caller had to repeat its data.
    repeated,
    /// Nobody answered its opening, and this VM offers it no more.
    abandoned,
    /// The caller was told that nothing of its opening was run.
    refused,
    /// The caller was told that its flow has ended.
    reset,
    /// An upstream that also got its opening was told the tag of the one that
    /// the caller confirmed.
    tag_corrected,
    /// A packet was dropped.
    dropped,
};

/// The rule that decided.
enum class flow_rule : std::uint8_t
{
    /// The least loaded of those that are ready.
    least_loaded,
    /// All that are left lately left openings unanswered or are out of reach.
    only_avoided_left,
    /// All that are left vanished from the registry a moment ago.
    only_missing_left,
    /// The opening was not answered in time.
    opening_unanswered,
    /// The upstream that had the opening drains, or its route is gone.
    upstream_left,
    /// The packet's tag names the upstream.
    named_by_tag,
    /// Another VM told the flow's upstream.
    named_by_peer,
    /// No other VM told the flow's upstream. The packet is the first one after
    /// the opening, so its provisional tag was believed.
    named_by_provisional_tag,
    /// No other VM told the flow's upstream, and the opening went to a further
    /// upstream after the one that the tag names.
    named_by_superseded_tag,
    /// No upstream of the route's pool may take a flow.
    no_upstream,
    /// No upstream of the route's pool is outside of failure domains that are
    /// evacuated.
    only_evacuated_left,
    /// All that are left are cold, and bear no more openings for now.
    only_cold_left,
    no_route,
    /// Data in an opening of a service that must not run twice.
    data_in_opening,
    unknown_tag,
    /// A check found nobody, while a witness answered.
    found_unreachable,
    /// The registry has another upstream at the address, which came later.
    address_taken_over,
    /// No answer to data that passed this VM.
    data_unanswered,
    /// The opening waited while this VM stood still; its copy may have been
    /// placed by another VM.
    held_by_pause,
    /// Requests of the pool wait so long that one more would be late.
    queue_too_long,
    /// This VM has just started and does not have the whole registry.
    registry_incomplete,
    /// Of two drawn at random, the one that is expected to answer sooner.
    quicker_of_two,
    /// The fewest flows, by slots and speed, as some upstreams are slow.
    least_loaded_by_speed,
    /// All that are left were ejected, as they answer errors.
    only_ejected_left,
    /// Sent to another failure domain, as requests wait in the own one.
    spilled,
    /// Requests of the pool wait too long, and this one is less urgent.
    less_urgent,
};

/// What this VM knew of the registry when it decided.
struct registry_knowledge
{
    document_version routes;
    document_version upstreams;
    document_version evacuations;
    /// Since when these have been in force here.
    time_point routes_since;
    time_point upstreams_since;
    time_point evacuations_since;
};

struct flow_decision
{
    flow_step step = flow_step::placed;
    flow_rule rule = flow_rule::least_loaded;
    flow_id flow;
    endpoint caller;
    endpoint route;
    /// The pool of upstreams that it is for; empty where none is known.
    std::string service;
    /// Zero for none.
    instance_number upstream;
    ipv4_address address;
    registry_knowledge known;
    /// Flows that this VM counted at the upstream, and its slots.
    std::uint32_t flows = 0;
    std::uint32_t slots = 0;
    /// Upstreams of the pool, and how many of them were ready.
    std::uint32_t pool_size = 0;
    std::uint32_t ready = 0;
    /// How long somebody waited: the caller for an answer, or this VM.
    duration waited{};
    /// When this VM sent the flow's opening; never, if another one did.
    std::optional<time_point> opened_at;
    /// Of the route; absent where it declares none.
    std::optional<std::uint8_t> priority{};
};

} // namespace cairnhead
