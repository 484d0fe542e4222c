#include <reducer/leave_turn.hpp>

#include <algorithm>

namespace cairnhead
{

namespace
{

/// A VM that died may be started again; fabrics count it as one of its domain
/// meanwhile. After this it was taken away.
constexpr duration time_until_given_up = 10s;

/// VMs that are told to stop in the same instant, or that wait for the same one
/// to come back, cannot know of each other. They begin this far apart, in the
/// order of their ids: enough for an announcement to arrive and a tick to pass.
constexpr duration distance = 150ms;

/// Of larger domains the fabric can spare several at once.
constexpr std::size_t largest_place = 3;

} // namespace

void leave_turn::observe(
    time_point now, vm_identity const& self, std::span<member const> members)
{
    this->place = 0;
    for (member const& known : members)
    {
        if (known.domain != self.domain || known.id == self.id)
            continue;
        this->note(now, known);
        if (known.id < self.id)
            ++this->place;
    }
    absl::erase_if(
        this->neighbours,
        [now](auto const& entry)
        {
            return is_given_up(entry.second, now);
        });
}

void leave_turn::note(time_point now, member const& known)
{
    bool const is_dead = known.status == member_status::dead;
    // It was given up, or died before this VM joined.
    if (is_dead && !this->neighbours.contains(known.id))
        return;
    neighbour& each = this->neighbours[known.id];
    if (is_dead && each.status != member_status::dead)
        each.expected_until = now + time_until_given_up;
    each.status = known.status;
}

bool leave_turn::is_used(neighbour const& each)
{
    // A VM joins with the registry in hand, so that the fabric's next question
    // finds it ready; and it gives up one that goes only after that.
    return each.status == member_status::alive;
}

bool leave_turn::is_given_up(neighbour const& each, time_point now)
{
    return each.status == member_status::dead && now >= each.expected_until;
}

leave_turn::domain_use leave_turn::use(time_point now) const
{
    domain_use counted;
    for (auto const& [id, each] : this->neighbours)
    {
        if (is_given_up(each, now))
            continue;
        ++counted.all;
        if (is_used(each))
            ++counted.used;
        else if (each.status != member_status::leaving)
            ++counted.down;
    }
    return counted;
}

bool leave_turn::is_needed(time_point now) const
{
    auto const [used, all, down] = this->use(now);
    // With this VM there are `all + 1`.
    bool const are_all_used = used > 0 && used * 2 < all + 1;
    return are_all_used && down > 0;
}

void leave_turn::request(time_point now, time_point latest)
{
    this->latest_at = latest;
    this->has_asked = true;
    this->look(now);
}

bool leave_turn::is_waiting() const
{
    return this->has_asked;
}

void leave_turn::look(time_point now)
{
    auto const others = this->use(now);
    // With this VM there is one more.
    bool const is_enough_left =
        others.used * 2 >= others.all + 1 || others.all == 0;
    if (!is_enough_left)
        return this->earliest_at.reset();
    auto const behind = static_cast<int>(std::min(this->place, largest_place));
    if (!this->earliest_at)
        this->earliest_at = now + distance * behind;
}

bool leave_turn::take(time_point now)
{
    if (!this->has_asked)
        return false;
    this->look(now);
    bool const has_come = this->earliest_at && now >= *this->earliest_at;
    if (!has_come && now < this->latest_at)
        return false;
    this->has_asked = false;
    this->earliest_at.reset();
    return true;
}

} // namespace cairnhead
