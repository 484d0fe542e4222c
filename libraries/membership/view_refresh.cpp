#include <membership/view_refresh.hpp>

#include <algorithm>
#include <utility>

namespace cairnhead
{

namespace
{

constexpr std::size_t candidates_at_once = 3;

/// The delay doubles this often at most.
constexpr std::uint32_t maximum_doublings = 4;

/// Whether a sequence is not before another, also when numbers wrap.
bool is_not_before(std::uint32_t sequence, std::uint32_t first)
{
    return static_cast<std::int32_t>(sequence - first) >= 0;
}

} // namespace

void view_refresh::begin(time_point now, view_refresh_plan chosen)
{
    this->plan = std::move(chosen);
    this->is_confirmed = this->plan.candidates.empty();
    this->is_listed = this->plan.candidates.empty();
    this->next_candidate = 0;
    this->attempts = 0;
    this->ask_deadline = now;
}

bool view_refresh::is_fresh(time_point now) const
{
    return this->is_confirmed || now >= this->plan.alone_deadline;
}

bool view_refresh::is_awaiting_listing() const
{
    return !this->is_listed;
}

void view_refresh::confirm_by_answer(std::uint32_t sequence)
{
    // An answer may have lain in the socket while the process was paused. Its
    // sender may be long dead: the VM would place flows by its old view, seen
    // as two owners for one flow. Only a ping from after the pause counts.
    if (this->plan.proof == view_proof::answer_or_listing &&
        is_not_before(sequence, this->plan.first_sequence))
        this->is_confirmed = true;
}

void view_refresh::confirm_by_listing(
    vm_id self, std::span<member_update const> listing)
{
    // Listings carry no sequence. One that names this VM's new incarnation
    // was made after the request, so it did not wait out a pause in a socket.
    for (member_update const& claim : listing)
    {
        if (claim.vm != self || claim.life < this->plan.life)
            continue;
        this->is_confirmed = true;
        this->is_listed = true;
    }
}

std::vector<vm_id> view_refresh::take_due(time_point now, duration first_delay)
{
    std::vector<vm_id> due;
    if (this->is_listed || now < this->ask_deadline)
        return due;
    auto const& candidates = this->plan.candidates;
    std::size_t const count = std::min(candidates_at_once, candidates.size());
    for (std::size_t asked = 0; asked < count; ++asked)
    {
        due.push_back(candidates[this->next_candidate]);
        this->next_candidate = (this->next_candidate + 1) % candidates.size();
    }
    std::uint32_t const doublings = std::min(this->attempts, maximum_doublings);
    this->ask_deadline = now + first_delay * (1U << doublings);
    ++this->attempts;
    return due;
}

} // namespace cairnhead
