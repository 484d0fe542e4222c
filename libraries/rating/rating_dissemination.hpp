#pragma once

#include <event/effect.hpp>
#include <event/settings.hpp>
#include <rating/domain_ranking.hpp>
#include <versions/document_peer.hpp>

#include <absl/container/flat_hash_map.h>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace cairnhead
{

/// Disseminates ratings through the failure domain.
///
/// A collector sends its ratings to one of the domain's disseminators, which
/// sends the ratings of all collectors down the tree of which it is the root.
/// If each collector were the root of a tree, each VM would receive a datagram
/// per collector and second while many upstreams are slow. With few roots it
/// receives eight in a second, whatever the number of VMs.
/// No method has a precondition; none is thread-safe.
class rating_dissemination
{
public:
    rating_dissemination(
        vm_identity const& self, std::size_t fanout, std::uint64_t seed);

    /// Sets the VMs of the failure domain that ratings go to.
    void set_vms(domain_ranking const& ranking);

    /// Shortest time between two listings of one collector, or of one
    /// disseminator: 250 ms, and up to a second with more disseminators.
    [[nodiscard]] duration interval() const;

    /// Sends ratings that this VM made on their way.
    void announce(
        time_point now,
        std::span<announced_rating const> ratings,
        effect_list& effects);

    /// Takes over or forwards a listing. False if it came before.
    [[nodiscard]] bool receive(
        time_point now,
        upstream_rating_listing const& listing,
        effect_list& effects);

    /// Sends what is due.
    void advance(time_point now, effect_list& effects);

    /// When `advance` has to be called next; nothing while nothing waits.
    [[nodiscard]] std::optional<time_point> next_due() const;

    /// Drops what waits.
    void clear();

    /// Listings sent so far, forwarded ones included.
    [[nodiscard]] std::uint64_t sent() const;

private:
    struct waiting_rating
    {
        announced_rating rating;
        time_point expires_at;
        time_point waits_until;
    };

    struct seen_listing
    {
        vm_id origin;
        std::uint32_t sequence = 0;
        time_point seen_at;
    };

    void enqueue(time_point now, std::span<announced_rating const> ratings);
    /// The smallest goes first.
    [[nodiscard]] time_point rank_of(waiting_rating const& each) const;
    [[nodiscard]] std::vector<announced_rating> take_waiting(time_point now);
    [[nodiscard]] bool
    record(time_point now, vm_id origin, std::uint32_t sequence);
    void forward(upstream_rating_listing const& listing, effect_list& effects);

    vm_identity self;
    std::size_t fanout;
    std::vector<document_peer> peers;
    std::vector<vm_id> disseminators;
    /// Whose turn it is.
    std::size_t turn;
    std::uint32_t next_sequence;
    std::vector<waiting_rating> waiting;
    /// When each upstream's rating was last disseminated, by whomever: where
    /// more wait than fit into the budget, the longest ago goes first.
    absl::flat_hash_map<upstream_tag, time_point> disseminated_at;
    time_point may_send_at;
    std::deque<seen_listing> seen;
    std::uint64_t sent_count = 0;
};

} // namespace cairnhead
