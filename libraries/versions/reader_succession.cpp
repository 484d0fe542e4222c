#include <versions/reader_succession.hpp>

#include <versions/peer_selection.hpp>

#include <algorithm>

namespace cairnhead
{

namespace
{

/// Successors begin this far apart: a call to the platform, and telling of it,
/// take less. The last of sixteen begins a second after the first.
constexpr duration distance = 60ms;

/// So many VMs hear of readers and may succeed them. A reader tells them once a
/// call; with sixteen and a call a second that is about one KB a second.
constexpr std::size_t most_successors = 16;

/// Complete reads are many calls.
constexpr duration telling_period = 500ms;

/// A successor whose call failed leaves it to others for so long. A platform
/// that is down for all gets one call of each successor in that time.
constexpr duration pause_after_failure = 2s;

} // namespace

reader_succession::reader_succession(
    version_settings const& settings, vm_identity const& own)
    : readers(settings.readers_per_domain), patience(settings.reader_patience),
      self(own)
{
}

void reader_succession::set_peers(
    time_point now, std::span<document_peer const> peers)
{
    this->listeners.clear();
    for (document_peer const& peer : peers)
    {
        if (peer.domain == this->self.domain && peer.id != this->self.id)
            this->listeners.push_back(peer.id);
    }
    std::ranges::sort(
        this->listeners,
        [this](vm_id first, vm_id second)
        {
            return reader_rank(this->self.domain, first)
                .is_above(reader_rank(this->self.domain, second));
        });
    this->rank = static_cast<std::size_t>(std::ranges::count_if(
        this->listeners,
        [this](vm_id vm)
        {
            return this->is_ahead_of_self(vm);
        }));
    // All who may read hear of each other, or the last would read for ever.
    auto const others = this->readers + most_successors - 1;
    this->listeners.resize(std::min(this->listeners.size(), others));
    // Readers need a while to be heard by a VM that has just joined.
    if (!this->has_peers)
        this->due_at = now + this->patience;
    this->has_peers = !this->listeners.empty();
}

bool reader_succession::is_ahead_of_self(vm_id other) const
{
    return reader_rank(this->self.domain, other)
        .is_above(reader_rank(this->self.domain, this->self.id));
}

void reader_succession::heard(time_point now, vm_id reader)
{
    this->due_at = std::max(this->due_at, now + this->patience);
    // Two may have begun before either heard of the other.
    if (this->is_ahead_of_self(reader))
        this->is_acting = false;
}

std::span<vm_id const> reader_succession::answered(time_point now)
{
    bool const is_off = this->patience == duration::zero();
    bool const is_reader = this->is_elected() || this->is_successor(now);
    // Who reads only to catch up is no reader that others could rely on.
    if (is_off || !is_reader || now < this->next_telling_at)
        return {};
    this->is_acting = !this->is_elected();
    this->next_telling_at = now + telling_period;
    return this->listeners;
}

void reader_succession::failed(time_point now)
{
    this->is_acting = false;
    this->due_at = std::max(this->due_at, now + pause_after_failure);
}

bool reader_succession::is_elected() const
{
    return this->rank < this->readers;
}

bool reader_succession::is_successor(time_point now) const
{
    bool const is_off = this->patience == duration::zero();
    bool const may_succeed =
        !this->is_elected() && this->rank < this->readers + most_successors;
    if (is_off || !may_succeed)
        return false;
    auto const before = static_cast<int>(this->rank - this->readers);
    return this->is_acting || now >= this->due_at + distance * before;
}

} // namespace cairnhead
