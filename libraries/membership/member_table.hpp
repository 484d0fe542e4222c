#pragma once

#include <membership/member.hpp>

#include <absl/container/flat_hash_map.h>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace cairnhead
{

/// All known members, sorted by id. Finding one takes O(log n); only a change
/// of the set of ids takes O(n). Thread safety of all methods: none.
class member_table
{
public:
    /// Inserts a member or replaces what was known of it. No precondition.
    void put(member const& next);

    /// Forgets a member. No precondition.
    void erase(vm_id id);

    /// The member with an id, or nullptr. No precondition. Valid until the
    /// next change.
    [[nodiscard]] member const* find(vm_id id) const;

    /// All members, sorted by id. No precondition. Valid until the next
    /// change.
    [[nodiscard]] std::span<member const> all() const;

    /// How many members are not dead. No precondition.
    [[nodiscard]] std::size_t live_count() const;

    /// Changes whenever a member's status changes as others see it; a dead
    /// one counts as absent. No precondition.
    [[nodiscard]] std::uint64_t generation() const;

    /// Whether a VM of the domain is reachable, or none was ever known.
    /// No precondition.
    [[nodiscard]] bool is_domain_reachable(failure_domain_id domain) const;

private:
    void count(member const& added);
    void uncount(member const& removed);

    std::vector<member> sorted;
    /// A domain keeps its entry, at zero, when its last VM is gone: that
    /// tells "unreachable" from "never known".
    absl::flat_hash_map<failure_domain_id, std::size_t> reachable_by_domain;
    std::size_t live = 0;
    std::uint64_t changes = 0;
};

} // namespace cairnhead
