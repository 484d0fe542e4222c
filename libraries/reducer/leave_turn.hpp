#pragma once

#include <base/time.hpp>
#include <event/settings.hpp>
#include <membership/member.hpp>

#include <absl/container/flat_hash_map.h>
#include <cstddef>
#include <optional>
#include <span>

namespace cairnhead
{

/// When a VM that was told to stop may begin to leave.
///
/// Load that this answers: a rolling restart that goes on before the last VM
/// is back. A fabric that finds fewer than half of a failure domain's VMs
/// ready uses all of them, those that leave too, and packets go to VMs that
/// have just ended: callers wait until their deadline. So a VM goes on being
/// ready while its leave would take the domain below half, as long as its own
/// time allows; and after that it goes on passing packets while callers are
/// still sent to it.
///
/// Thread safety of all methods: none.
class leave_turn
{
public:
    /// The members changed. No precondition.
    void observe(
        time_point now,
        vm_identity const& self,
        std::span<member const> members);

    /// This VM was told to stop, and has its turn at the latest then.
    /// Precondition: not waiting.
    void request(time_point now, time_point latest);

    /// Whether this VM was told to stop and has not had its turn. No
    /// precondition.
    [[nodiscard]] bool is_waiting() const;

    /// Ends the wait if the turn has come or nothing is left of the time.
    /// No precondition.
    [[nodiscard]] bool take(time_point now);

    /// How many other VMs of the domain the fabric uses, as far as this VM
    /// knows, and how many it could; `down` are those that pass no packets.
    /// No precondition.
    struct domain_use
    {
        std::size_t used = 0;
        std::size_t all = 0;
        std::size_t down = 0;
    };
    [[nodiscard]] domain_use use(time_point now) const;

    /// Whether the end of this VM, not ready any more, would have callers lose
    /// packets at a second VM: the fabric uses all of the domain, as fewer than
    /// half are ready, but some, and another one is down. While none is, the
    /// sooner this VM ends the sooner it is back. No precondition.
    [[nodiscard]] bool is_needed(time_point now) const;

private:
    /// Another VM of the own failure domain.
    struct neighbour
    {
        member_status status = member_status::alive;
        /// If it is dead: until when it is expected back.
        time_point expected_until;
    };

    void note(time_point now, member const& known);
    void look(time_point now);
    [[nodiscard]] static bool is_used(neighbour const& each);
    [[nodiscard]] static bool
    is_given_up(neighbour const& each, time_point now);

    absl::flat_hash_map<vm_id, neighbour> neighbours;
    /// How many of them have a smaller id.
    std::size_t place = 0;
    bool has_asked = false;
    /// When the turn comes, while enough others are used.
    std::optional<time_point> earliest_at;
    time_point latest_at;
};

} // namespace cairnhead
