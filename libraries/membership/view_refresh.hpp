#pragma once

#include <base/time.hpp>
#include <protocol/member_update.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace cairnhead
{

/// What confirms a view.
enum class view_proof : std::uint8_t
{
    /// Only a listing: the VM knows no members yet, and with one answer alone
    /// it would take the few it has heard of for the whole fleet.
    listing,
    /// An answered ping too: the members were known before the pause.
    answer_or_listing,
};

/// How one refresh is to go.
struct view_refresh_plan
{
    view_proof proof = view_proof::listing;
    /// The own incarnation: only a listing that names it was made since.
    incarnation life;
    /// Sequences before this belong to pings from before.
    std::uint32_t first_sequence = 0;
    /// Whom to ask, in this order.
    std::vector<vm_id> candidates;
    /// Without any answer until then the VM takes itself to be alone.
    time_point alone_deadline;
};

/// Whether this VM's view of the others is confirmed, and whom to ask for
/// listings until then. Thread safety of all methods: none.
class view_refresh
{
public:
    /// The view is void from now on; with no candidates it is fresh at once.
    /// No precondition.
    void begin(time_point now, view_refresh_plan chosen);

    /// Whether a peer confirmed the view or no peer can. No precondition.
    [[nodiscard]] bool is_fresh(time_point now) const;

    /// Whether no listing has come since `begin`. No precondition.
    [[nodiscard]] bool is_awaiting_listing() const;

    /// A ping with this sequence was answered. No precondition.
    void confirm_by_answer(std::uint32_t sequence);

    /// A part of a listing came. No precondition.
    void confirm_by_listing(vm_id self, std::span<member_update const> listing);

    /// Whom to ask now; mostly nobody. `first_delay` passes before the first
    /// repetition, later delays grow. No precondition.
    [[nodiscard]] std::vector<vm_id>
    take_due(time_point now, duration first_delay);

private:
    view_refresh_plan plan;
    bool is_confirmed = true;
    bool is_listed = true;
    std::size_t next_candidate = 0;
    std::uint32_t attempts = 0;
    time_point ask_deadline;
};

} // namespace cairnhead
