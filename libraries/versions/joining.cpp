#include <versions/joining.hpp>

#include <random>
#include <utility>

namespace cairnhead
{

namespace
{

/// Who heard nothing asks again so soon: where all VMs start at once, those
/// that all ask may be there a little later than the others.
constexpr duration unanswered_patience = std::chrono::milliseconds(90);

/// Some of those that it knows may be gone.
constexpr std::size_t first_peers_to_ask = 2;
constexpr std::size_t most_peers_to_ask = 3;

/// Who was sent to others and not served asks again after this: long enough for
/// a few VMs to hand documents on to each other.
constexpr duration patience = std::chrono::milliseconds(400);

/// Those that all ask may be the last to start, and reading takes long on a
/// small VM. So a few others read at once: the seeds name those, and nobody has
/// to wait until the seeds have read.
constexpr std::uint32_t early_percent = 5;
constexpr std::uint32_t whole_percent = 100;

/// Seeds that are there have answered by then.
constexpr duration time_to_answer = std::chrono::milliseconds(20);

/// A VM that hears from nobody reads the platform after this, and one that was
/// sent to others after the longer time. Both are drawn out at random: VMs that
/// are cut off from those they know must not all read in one moment.
constexpr duration silent_patience = std::chrono::milliseconds(800);
constexpr duration referred_patience = std::chrono::milliseconds(1'500);

/// Between the whole of it and twice as long.
duration spread(duration length, version_random& random)
{
    std::uniform_int_distribution<duration::rep> more(0, length.count());
    return length + duration(more(random));
}

} // namespace

joining::joining(vm_identity const& own) : self(own)
{
}

void joining::begin(time_point now, bool is_own_seed, version_random& random)
{
    this->has_begun = true;
    this->is_seed = is_own_seed;
    this->glance_at = now + time_to_answer;
    std::uniform_int_distribution<std::uint32_t> draw(1, whole_percent);
    bool const is_early = draw(random) <= early_percent;
    this->read_at =
        is_own_seed || is_early ? now : now + spread(silent_patience, random);
}

void joining::found_long()
{
    this->is_long = true;
}

bool joining::take_due(time_point now)
{
    if (now < this->next_ask_at)
        return false;
    this->next_ask_at = now + unanswered_patience;
    ++this->questions;
    if (std::exchange(this->is_referred, false))
    {
        this->asked.clear();
        ++this->attempts;
    }
    return true;
}

std::size_t joining::peers_to_ask() const
{
    return this->questions > 1 ? most_peers_to_ask : first_peers_to_ask;
}

join_request joining::request() const
{
    return {
        .domain = this->self.domain,
        .has_documents = false,
        .is_referred = false,
        .attempt = this->attempts};
}

std::vector<vm_id> joining::follow(
    time_point now, join_referral const& referral, version_random& random)
{
    bool const is_first = !std::exchange(this->was_referred, true);
    this->is_referred = true;
    this->questions = 0;
    this->next_ask_at = now + spread(patience, random);
    if (referral.is_to_read)
        this->read_at = std::min(this->read_at, now);
    else if (is_first && now < this->read_at)
        this->read_at = now + spread(referred_patience, random);
    std::vector<vm_id> named;
    for (vm_id const holder : referral.holders)
    {
        if (holder == this->self.id || !this->asked.insert(holder).second)
            continue;
        named.push_back(holder);
    }
    return named;
}

platform_access joining::choose_access(time_point now)
{
    if (!this->has_begun)
        return platform_access::none;
    if (now >= this->read_at)
        return platform_access::reading;
    this->is_glancing |= now >= this->glance_at && !this->was_referred;
    return this->is_glancing && !this->is_long ? platform_access::glancing
                                               : platform_access::none;
}

std::optional<time_point> joining::next_due(time_point now) const
{
    std::optional<time_point> next;
    for (time_point const due :
         {this->glance_at, this->next_ask_at, this->read_at})
    {
        if (due > now && (!next || due < *next))
            next = due;
    }
    return next;
}

bool joining::reads_on(time_point now) const
{
    return this->has_begun && (this->is_seed || now >= this->read_at);
}

} // namespace cairnhead
