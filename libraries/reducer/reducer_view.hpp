#pragma once

#include <event/effect.hpp>
#include <membership/membership.hpp>
#include <ownership/ownership_table.hpp>
#include <placement/placement.hpp>
#include <rating/rating_exchange.hpp>
#include <tagging/tagged_upstreams.hpp>

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

/// Read-only answers for operators.
namespace cairnhead
{

/// Where a VM is in its life.
enum class serving_state : std::uint8_t
{
    /// It does not know the highest versions yet and places nothing new.
    joining,
    serving,
    /// The process was paused and waits for a peer to confirm its view.
    view_expired,
    leaving,
};

/// An upstream as operators see it.
struct shown_upstream
{
    placement::upstream_view state;
    std::uint32_t slots = 0;
    /// With tags only.
    std::optional<upstream_view> belief;
};

/// A copy of what one VM believes; safe to hand to another thread.
struct reducer_view
{
    /// When the copy was made.
    time_point taken_at;
    vm_identity self;
    serving_state state = serving_state::joining;
    std::size_t pins = 0;
    std::size_t pin_bytes = 0;
    bool is_reader = false;
    std::uint64_t documents_generation = 0;
    std::vector<document_stamp> documents;
    std::vector<member> members;
    std::shared_ptr<directory const> declarations;
    std::vector<shown_upstream> upstreams;
    /// With tags only.
    registry_knowledge registry;
    /// Failure domains that take no new flows, as operators wish.
    std::vector<std::string> evacuated_domains;
};

/// What is counted of one VM's beliefs, without copying them.
struct reducer_gauges
{
    serving_state state = serving_state::joining;
    std::size_t flows = 0;
    std::uint64_t documents_generation = 0;
    std::span<member const> members;
    /// Null with tags.
    directory const* declarations = nullptr;
    /// With tags only.
    std::span<tagged_upstream const> upstreams;
    registry_knowledge registry;
    std::span<std::string const> evacuated_domains;
    std::size_t ratings_in_force = 0;
    rating_counts ratings;
};

/// Which rule decides about a flow's next packet.
enum class routing_rule : std::uint8_t
{
    /// This VM holds the pin.
    own_pin,
    /// Another VM owns the flow and is asked.
    ask_owner,
    /// This VM owns the flow and has no pin: earlier holders are asked.
    ask_earlier_holders,
    /// This VM owns the flow, and nobody has a pin: an opening is placed.
    place_opening,
    unknown_destination,
};

struct flow_explanation
{
    routing_rule rule = routing_rule::unknown_destination;
    std::string service;
    flow_holders holders;
    std::optional<upstream_id> pinned;
    std::optional<upstream_id> predicted;
    std::uint64_t documents_generation = 0;

    /// With tags only: the upstreams that a new flow may get, first the one
    /// that it would get, if any may take it.
    std::vector<upstream_candidate> candidates;
    std::string pool;
    time_point asked_at;
    registry_knowledge registry;
};

} // namespace cairnhead
