#include <versions/reader_election.hpp>

#include <versions/peer_selection.hpp>

#include <algorithm>
#include <utility>

namespace cairnhead
{

namespace
{

using std::chrono_literals::operator""s;

/// Time between two turns of the search: a call to the platform and its
/// heartbeat take less. The last of sixteen substitutes calls within a second.
constexpr duration search_step = 50ms;

/// Time between two turns after the search: a platform that is down receives
/// two calls a second from each failure domain.
constexpr duration rotation_step = 500ms;

/// How many VMs besides the elected readers receive heartbeats and may take
/// over. A reader sends a heartbeat to each after a call; with sixteen VMs and
/// one call a second that is about one KB a second.
constexpr std::size_t maximum_substitutes = 16;

/// How many of the VMs that cannot take over receive each heartbeat. Just after
/// most VMs have died, the tree by which changes are disseminated is broken,
/// and no other message would show these VMs which changes they lack.
constexpr std::size_t non_candidates_per_heartbeat = 4;

/// A VM that has just joined waits for a heartbeat this many times as long.
constexpr int startup_timeout_factor = 2;

/// Minimum time between two heartbeats: a complete read takes many calls, and
/// not each needs a heartbeat.
constexpr duration heartbeat_period = 500ms;

/// An elected VM that the platform refused does not take over from a reader
/// that is served for this time, multiplied by the number of the other
/// candidates.
constexpr duration takeover_pause_step = 500ms;
constexpr duration shortest_takeover_pause = 1s;

} // namespace

reader_election::reader_election(
    version_settings const& settings, vm_identity const& own)
    : readers(settings.readers_per_domain),
      heartbeat_timeout(settings.reader_patience), self(own)
{
}

void reader_election::set_peers(
    time_point now, std::span<document_peer const> peers)
{
    this->other_candidates.clear();
    for (document_peer const& peer : peers)
    {
        if (peer.domain == this->self.domain && peer.id != this->self.id)
            this->other_candidates.push_back(peer.id);
    }
    std::ranges::sort(
        this->other_candidates,
        [this](vm_id first, vm_id second)
        {
            return reader_rank(this->self.domain, first)
                .is_above(reader_rank(this->self.domain, second));
        });
    this->rank = static_cast<std::size_t>(std::ranges::count_if(
        this->other_candidates,
        [this](vm_id vm)
        {
            return this->outranks_self(vm);
        }));
    // Every candidate must receive the heartbeats of all others; otherwise the
    // last candidate would never stop reading.
    auto const others = std::min(
        this->other_candidates.size(), this->readers + maximum_substitutes - 1);
    auto const after =
        this->other_candidates.begin() + static_cast<int>(others);
    this->non_candidates.assign(after, this->other_candidates.end());
    this->other_candidates.resize(others);
    // Readers need a while to learn of a VM that has just joined, and longer if
    // all VMs have. Peers that become known later must not postpone its turn:
    // they may have started after it, and wait in the same way.
    if (!std::exchange(this->has_received_peers, true))
        this->search_starts_at =
            now + this->heartbeat_timeout * startup_timeout_factor;
    // The ranks have changed, and the times of the turns depend on them.
    time_point const latest = this->turn_after(now, this->candidate_count());
    this->turn_at = now < this->first_turn() ? this->first_turn()
                                             : std::min(this->turn_at, latest);
}

bool reader_election::outranks_self(vm_id other) const
{
    return reader_rank(this->self.domain, other)
        .is_above(reader_rank(this->self.domain, this->self.id));
}

bool reader_election::is_takeover_disabled() const
{
    return this->heartbeat_timeout == duration::zero();
}

void reader_election::begin()
{
    this->is_active_reader = true;
}

bool reader_election::is_candidate() const
{
    return this->rank < this->readers + maximum_substitutes;
}

std::size_t reader_election::candidate_count() const
{
    return std::min(
        this->other_candidates.size() + 1, this->readers + maximum_substitutes);
}

time_point reader_election::first_turn() const
{
    return this->search_starts_at + search_step * static_cast<int>(this->rank);
}

bool reader_election::is_searching(time_point now) const
{
    return now < this->search_starts_at +
                     search_step * static_cast<int>(this->candidate_count());
}

time_point reader_election::turn_after(time_point now, std::size_t turns) const
{
    return now + rotation_step + search_step * (static_cast<int>(turns) - 1);
}

std::size_t reader_election::turns_after(vm_id caller) const
{
    // The other candidates are sorted by rank, without this VM.
    auto const found = std::ranges::find(this->other_candidates, caller);
    auto const place =
        static_cast<std::size_t>(found - this->other_candidates.begin());
    bool const is_ahead = place < this->rank;
    std::size_t const all = this->candidate_count();
    std::size_t const turns =
        is_ahead ? this->rank - place : this->rank + all - (place + 1);
    return std::clamp<std::size_t>(turns, 1, all);
}

void reader_election::receive_attempt(time_point now, vm_id caller)
{
    // During the search each VM has a turn that does not depend on the others.
    if (!this->is_takeover_disabled() && !this->is_searching(now))
        this->turn_at = this->turn_after(now, this->turns_after(caller));
}

void reader_election::receive_heartbeat(time_point now, vm_id reader)
{
    this->search_starts_at = now + this->heartbeat_timeout;
    this->turn_at = this->first_turn();
    bool const is_ahead = this->outranks_self(reader);
    // Two VMs may have started to read before either received the other's
    // heartbeat.
    if (is_ahead && !this->is_elected())
        this->is_call_pending = this->is_active_reader = false;
    // A VM that has just joined continues where the current reader is.
    bool const may_take_over = now >= this->no_takeover_until;
    if (!is_ahead && this->is_elected() && may_take_over)
        this->is_active_reader = true;
}

std::vector<vm_id> reader_election::answered(time_point now)
{
    // A VM that reads only to catch up is not a reader that others can rely on.
    if (this->is_takeover_disabled() || !this->is_reading(now))
        return {};
    this->is_call_pending = false;
    this->is_active_reader = true;
    this->search_starts_at = now + this->heartbeat_timeout;
    this->turn_at = this->first_turn();
    if (now < this->next_heartbeat_at)
        return {};
    this->next_heartbeat_at = now + heartbeat_period;
    std::vector<vm_id> recipients = this->other_candidates;
    auto const count =
        std::min(this->non_candidates.size(), non_candidates_per_heartbeat);
    for (std::size_t number = 0; number < count; ++number)
        recipients.push_back(
            this->non_candidates
                [this->next_non_candidate++ % this->non_candidates.size()]);
    return recipients;
}

void reader_election::failed(time_point now)
{
    this->is_call_pending = false;
    this->is_active_reader = false;
    this->no_takeover_until = now + this->takeover_pause();
}

duration reader_election::takeover_pause() const
{
    auto const others = static_cast<int>(this->other_candidates.size());
    return std::max<duration>(
        takeover_pause_step * others, shortest_takeover_pause);
}

bool reader_election::is_elected() const
{
    return this->rank < this->readers;
}

bool reader_election::is_reading(time_point now) const
{
    if (this->is_takeover_disabled())
        return this->is_elected();
    if (!this->is_candidate())
        return false;
    return this->is_active_reader || this->is_call_pending ||
           now >= this->turn_at;
}

std::optional<reader_election::turn> reader_election::take_turn(time_point now)
{
    bool const has_turn = !this->is_takeover_disabled() &&
                          this->is_candidate() && now >= this->turn_at;
    if (!has_turn)
        return std::nullopt;
    this->is_call_pending = true;
    this->turn_at = this->turn_after(now, this->candidate_count());
    if (this->is_searching(now))
        return turn{};
    return turn{this->other_candidates};
}

} // namespace cairnhead
