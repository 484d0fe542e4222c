#pragma once

#include <membership/member_table.hpp>

#include <cstddef>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace cairnhead
{

/// The order in which peers are probed: each once a round, in an order that
/// is shuffled anew for each round. Choosing at random each time would leave
/// some peer unprobed for long; a fixed order would let all VMs probe the
/// same peer at once. Thread safety of all methods: none.
class probe_rotation
{
public:
    /// A peer became live: it gets a random place in the rest of the round.
    /// No precondition.
    void add(vm_id peer, std::mt19937_64& random);

    /// The next live peer, or nothing without any. No precondition.
    [[nodiscard]] std::optional<vm_id>
    next(member_table const& members, vm_id self, std::mt19937_64& random);

    /// Up to `count` different reachable peers, not `excluded`, as random as
    /// the round's order. No precondition.
    [[nodiscard]] std::vector<vm_id> sample(
        std::size_t count,
        vm_id excluded,
        member_table const& members,
        std::mt19937_64& random) const;

private:
    void begin_round(
        member_table const& members, vm_id self, std::mt19937_64& random);
    [[nodiscard]] std::optional<vm_id>
    next_of_round(member_table const& members);

    std::vector<vm_id> order;
    std::size_t position = 0;
};

/// A whole number below `bound`. Precondition: `bound` is not zero.
/// Thread safety: as its generator.
[[nodiscard]] std::size_t
random_below(std::size_t bound, std::mt19937_64& random);

} // namespace cairnhead
