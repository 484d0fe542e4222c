#pragma once

#include <event/effect.hpp>
#include <event/settings.hpp>
#include <rating/domain_ranking.hpp>
#include <rating/observation_sender.hpp>
#include <rating/rated_upstream.hpp>
#include <rating/rating_collector.hpp>
#include <rating/rating_dissemination.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace cairnhead
{

/// Messages and ejections since the start.
struct rating_counts
{
    std::uint64_t observations_sent = 0;
    std::uint64_t observations_received = 0;
    std::uint64_t ratings_sent = 0;
    std::uint64_t ratings_received = 0;
    std::uint64_t ejections = 0;
};

/// What follows from an event for this VM.
struct rating_outcome
{
    /// To be put in force; one that expires now ends an earlier one.
    std::vector<upstream_rating> ratings;
    /// Of upstreams that this VM collects for.
    std::vector<ejection_change> ejections;
};

/// Exchanges observations and ratings with the VMs of the failure domain.
///
/// Of each upstream one VM collects what all saw, rates it, and tells the
/// others. Two VMs do while they see different members; the later rating holds.
/// An upstream of another failure domain is rated by this VM's own flows, and
/// nothing is sent about it. Nothing has to arrive: observations are samples,
/// and ratings are repeated before they expire.
/// No method has a precondition; none is thread-safe: only the reducer's thread
/// calls them. `now` may not decrease from call to call.
class rating_exchange
{
public:
    rating_exchange(
        vm_identity const& self, std::size_t fanout, std::uint64_t seed);

    /// Records that an event is about to be handled. After a pause of the
    /// process all that was collected is dropped, and so are, for a moment, the
    /// messages that were queued meanwhile: other VMs collect by now, and
    /// nobody knows how old the messages are.
    void record_event(time_point now);

    /// Sets the live VMs of the failure domain, this one included; empty while
    /// they are not known.
    void set_vms(std::span<vm_id const> vms);

    /// Takes what this VM's own flows saw.
    void observe(
        time_point now,
        std::span<request_observation const> seen,
        upstream_lookup find);

    /// Takes what another VM of the domain saw.
    void receive(
        time_point now,
        upstream_observation_listing const& listing,
        upstream_lookup find);

    /// Takes ratings, and forwards them. Returns those to be put in force.
    [[nodiscard]] std::vector<upstream_rating> receive(
        time_point now,
        upstream_rating_listing const& listing,
        effect_list& effects);

    /// Does the work that is due: sends observations, rates upstreams, and
    /// announces ratings.
    [[nodiscard]] rating_outcome
    advance(time_point now, upstream_lookup find, effect_list& effects);

    /// When `advance` has to be called next; nothing if no work is pending.
    [[nodiscard]] std::optional<time_point> next_due() const;

    /// An upstream of the pool whose ejection is over and that may get one
    /// opening of a repeatable route from this VM as a trial.
    [[nodiscard]] std::optional<upstream_tag>
    find_trial(time_point now, std::string_view pool) const;

    /// Records that the upstream got such an opening.
    void
    record_trial(time_point now, std::string_view pool, upstream_tag upstream);

    [[nodiscard]] rating_counts counts() const;

private:
    [[nodiscard]] bool is_ignoring_messages(time_point now) const;
    void decide(
        time_point now,
        upstream_lookup find,
        rating_outcome& outcome,
        effect_list& effects);

    vm_identity self;
    domain_ranking ranking;
    observation_sender sender;
    rating_collector collector;
    rating_dissemination dissemination;
    time_point decide_at;
    time_point last_event_at;
    /// Until then messages may have been queued during a pause.
    time_point ignores_until;
    rating_counts counted;
};

} // namespace cairnhead
