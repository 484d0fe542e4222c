#include <versions/reader_succession.hpp>

#include <versions/peer_selection.hpp>

#include <algorithm>
#include <utility>

namespace cairnhead
{

namespace
{

using std::chrono_literals::operator""s;

/// Successors begin this far apart: a call to the platform, and telling of it,
/// take less. The last of sixteen begins a second after the first.
constexpr duration distance = 60ms;

/// So many VMs hear of readers and may succeed them. A reader tells them once a
/// call; with sixteen and a call a second that is about one KB a second.
constexpr std::size_t most_successors = 16;

/// Of those who cannot succeed, so many are told each time: where most VMs died
/// a moment ago, the tree that changes go down is broken, and nobody else would
/// tell them of what they miss.
constexpr std::size_t told_bystanders = 4;

/// A VM that has just joined waits so many times as long to hear of a reader.
constexpr int joining_patience = 2;

/// Complete reads are many calls.
constexpr duration telling_period = 500ms;

/// Who failed leaves it to the others for so long each, so that a platform that
/// is down for all gets about two calls a second, however many VMs wait for it.
constexpr duration pause_for_each_other = 500ms;
constexpr duration shortest_pause = 1s;

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
    auto const others =
        std::min(this->listeners.size(), this->readers + most_successors - 1);
    auto const after = this->listeners.begin() + static_cast<int>(others);
    this->bystanders.assign(after, this->listeners.end());
    this->listeners.resize(others);
    // Readers need a while to learn of a VM that has just joined, and longer
    // where all have. Who knows nobody of its domain may be alone there: what
    // it hears of other domains must not put its turn off again and again.
    bool const has_peers_now = !this->listeners.empty();
    bool const is_first_word = !std::exchange(this->was_told_of_peers, true);
    if (is_first_word || (has_peers_now && !this->has_peers))
        this->due_at = now + this->patience * joining_patience;
    this->has_peers = has_peers_now;
}

bool reader_succession::is_ahead_of_self(vm_id other) const
{
    return reader_rank(this->self.domain, other)
        .is_above(reader_rank(this->self.domain, this->self.id));
}

bool reader_succession::is_off() const
{
    return this->patience == duration::zero();
}

void reader_succession::begin()
{
    this->is_acting = true;
}

void reader_succession::heard(time_point now, vm_id reader)
{
    this->due_at = std::max(now + this->patience, this->failed_until);
    bool const is_ahead = this->is_ahead_of_self(reader);
    // Two may have begun before either heard of the other.
    if (is_ahead && !this->is_elected())
        this->is_acting = false;
    // One that has just joined goes on where the other is.
    if (!is_ahead && this->is_elected() && now >= this->failed_until)
        this->is_acting = true;
}

std::vector<vm_id> reader_succession::answered(time_point now)
{
    // Who reads only to catch up is no reader that others could rely on.
    if (this->is_off() || !this->is_reading(now) || now < this->next_telling_at)
        return {};
    this->is_acting = true;
    this->next_telling_at = now + telling_period;
    std::vector<vm_id> told = this->listeners;
    auto const count = std::min(this->bystanders.size(), told_bystanders);
    for (std::size_t number = 0; number < count; ++number)
        told.push_back(
            this->bystanders[this->next_bystander++ % this->bystanders.size()]);
    return told;
}

void reader_succession::failed(time_point now)
{
    this->is_acting = false;
    this->failed_until = now + this->pause_after_failure();
    this->due_at = std::max(this->due_at, this->failed_until);
}

duration reader_succession::pause_after_failure() const
{
    auto const others = static_cast<int>(this->listeners.size());
    return std::max<duration>(pause_for_each_other * others, shortest_pause);
}

bool reader_succession::is_elected() const
{
    return this->rank < this->readers;
}

bool reader_succession::is_reading(time_point now) const
{
    if (this->is_off())
        return this->is_elected();
    if (this->rank >= this->readers + most_successors)
        return false;
    auto const before = this->is_elected() ? 0 : this->rank - this->readers;
    return this->is_acting ||
           now >= this->due_at + distance * static_cast<int>(before);
}

} // namespace cairnhead
