#pragma once

#include <base/identifiers.hpp>
#include <rating/upstream_rating.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>

namespace cairnhead
{

/// What the placement compares of an upstream that is ready.
struct placement_candidate
{
    failure_domain_id domain;
    /// Absent: it performs as usual.
    std::optional<upstream_rating> rating;
    /// Positive; fewer than its own while it is in slow start.
    double slots = 1;
    /// Openings that this VM sent it since its rating.
    double own_openings = 0;
    /// Open flows by slots, larger for other failure domains, as `flows`
    /// compares them.
    double flow_load = 0;
};

/// Chooses among the ready upstreams of a pool by their ratings.
///
/// Load pattern: some upstreams are slow or busy. The number of flows that pass
/// one VM does not show it.
///
/// For flows of few requests two upstreams are drawn and the quicker one is
/// taken: all VMs have the same ratings, and would all choose the same upstream
/// if they took the best of all. No method has a precondition unless its
/// comment states one; none is thread-safe: only the reducer's thread calls
/// them.
class answer_time_placement
{
public:
    explicit answer_time_placement(std::uint64_t seed);

    /// The one of two drawn upstreams that is expected to answer sooner. Those
    /// much slower than half of their failure domain are not drawn.
    /// Precondition: at least one upstream.
    [[nodiscard]] std::size_t
    choose_quicker_of_two(std::span<placement_candidate const> ready);

    /// The upstream with the fewest flows by slots and speed. Those much slower
    /// than half of their failure domain are left out. Precondition: at least
    /// one upstream.
    [[nodiscard]] std::size_t
    choose_least_loaded(std::span<placement_candidate const> ready);

    /// Answer time of one more request, in usual answer times of its route, all
    /// tries included that it needs there.
    [[nodiscard]] static double
    expected_answer_time(placement_candidate const& upstream);

private:
    std::mt19937_64 random;
};

} // namespace cairnhead
