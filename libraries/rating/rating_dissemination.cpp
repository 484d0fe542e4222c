#include <rating/rating_dissemination.hpp>

#include <versions/relay_tree.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace cairnhead
{

namespace
{

using std::chrono_literals::operator""s;

/// All disseminators together send eight listings a second.
constexpr duration interval_per_disseminator = std::chrono::milliseconds(125);

/// Ratings of one listing: 144 in a second, about 2 KB.
constexpr std::size_t maximum_ratings_per_listing = 18;

/// Ratings that wait at a disseminator; further ones are dropped, and their
/// collectors repeat them.
constexpr std::size_t maximum_waiting = 1024;

/// Longest lifetime that a rating may have. The end of one waits as long.
constexpr duration longest_lifetime = 3s;

/// A rating that does not fit into the budget for so long is dropped: what is
/// left of its lifetime is not worth a place, and its collector has sent it to
/// another disseminator by then. Longer than `interval`.
constexpr duration longest_wait = std::chrono::milliseconds(1250);

/// Listings that are remembered so that each is forwarded once. Trees of VMs
/// with different views of the members may contain cycles.
constexpr std::size_t maximum_seen = 256;

/// Where not all ratings fit into the budget, ejections and the ends of ratings
/// go before others that were disseminated up to this much longer ago, and
/// those that only tell of work in hand go after others as much.
constexpr duration urgency = 1s;

/// Upstreams that are slower than this are told of for their answer time.
constexpr std::uint16_t slow_permille = 1500;

duration urgency_of(announced_rating const& rating)
{
    if (rating.is_ejected || rating.lifetime_milliseconds == 0)
        return urgency;
    return rating.relative_permille > slow_permille ? duration() : -urgency;
}

} // namespace

rating_dissemination::rating_dissemination(
    vm_identity const& own, std::size_t relay_fanout, std::uint64_t seed)
    : self(own), fanout(relay_fanout), turn(seed % 8),
      next_sequence(static_cast<std::uint32_t>(seed))
{
}

void rating_dissemination::set_vms(domain_ranking const& ranking)
{
    this->peers.clear();
    for (vm_id const vm : ranking.vms())
    {
        if (vm != this->self.id)
            this->peers.push_back({vm, this->self.domain});
    }
    auto const chosen = ranking.disseminators();
    this->disseminators.assign(chosen.begin(), chosen.end());
}

duration rating_dissemination::interval() const
{
    return interval_per_disseminator *
           std::max<std::int64_t>(std::ssize(this->disseminators), 2);
}

void rating_dissemination::announce(
    time_point now,
    std::span<announced_rating const> ratings,
    effect_list& effects)
{
    if (ratings.empty() || this->peers.empty() || this->disseminators.empty())
        return;
    vm_id const target =
        this->disseminators[this->turn++ % this->disseminators.size()];
    if (target == this->self.id)
        return this->enqueue(now, ratings);
    while (!ratings.empty())
    {
        auto const part = ratings.first(
            std::min(ratings.size(), maximum_ratings_per_listing));
        ratings = ratings.subspan(part.size());
        upstream_rating_listing const listing{
            vm_id(), this->next_sequence++, {part.begin(), part.end()}};
        effects.emplace_back(send_control{target, listing});
        ++this->sent_count;
    }
}

bool rating_dissemination::receive(
    time_point now,
    upstream_rating_listing const& listing,
    effect_list& effects)
{
    if (listing.origin == vm_id())
    {
        this->enqueue(now, listing.ratings);
        return true;
    }
    bool const is_new = listing.origin != this->self.id &&
                        this->record(now, listing.origin, listing.sequence);
    if (!is_new)
        return false;
    for (announced_rating const& each : listing.ratings)
        this->disseminated_at[each.upstream] = now;
    this->forward(listing, effects);
    return true;
}

void rating_dissemination::advance(time_point now, effect_list& effects)
{
    if (this->waiting.empty() || now < this->may_send_at)
        return;
    auto ratings = this->take_waiting(now);
    if (ratings.empty())
        return;
    this->may_send_at = now + this->interval();
    this->forward(
        {this->self.id, this->next_sequence++, std::move(ratings)}, effects);
}

std::optional<time_point> rating_dissemination::next_due() const
{
    if (this->waiting.empty())
        return std::nullopt;
    return this->may_send_at;
}

void rating_dissemination::clear()
{
    this->waiting.clear();
}

std::uint64_t rating_dissemination::sent() const
{
    return this->sent_count;
}

void rating_dissemination::enqueue(
    time_point now, std::span<announced_rating const> ratings)
{
    for (announced_rating const& each : ratings)
    {
        auto const lifetime = std::min<duration>(
            std::chrono::milliseconds(each.lifetime_milliseconds),
            longest_lifetime);
        duration const wait = lifetime == duration()
                                  ? longest_lifetime
                                  : std::min(lifetime, longest_wait);
        waiting_rating const added{each, now + lifetime, now + wait};
        auto const known = std::ranges::find(
            this->waiting, each.upstream,
            [](waiting_rating const& one)
            {
                return one.rating.upstream;
            });
        if (known != this->waiting.end())
            *known = added;
        else if (this->waiting.size() < maximum_waiting)
            this->waiting.push_back(added);
    }
}

time_point rating_dissemination::rank_of(waiting_rating const& each) const
{
    auto const known = this->disseminated_at.find(each.rating.upstream);
    time_point const last =
        known == this->disseminated_at.end() ? time_point() : known->second;
    return last - urgency_of(each.rating);
}

std::vector<announced_rating> rating_dissemination::take_waiting(time_point now)
{
    std::erase_if(
        this->waiting,
        [now](waiting_rating const& each)
        {
            return each.waits_until <= now;
        });
    std::ranges::stable_sort(
        this->waiting, {},
        [this](waiting_rating const& each)
        {
            return this->rank_of(each);
        });
    auto const count =
        std::min(this->waiting.size(), maximum_ratings_per_listing);
    auto const end =
        std::next(this->waiting.begin(), static_cast<std::ptrdiff_t>(count));
    std::vector<announced_rating> taken;
    for (auto each = this->waiting.begin(); each != end; ++each)
    {
        announced_rating& rating = taken.emplace_back(each->rating);
        this->disseminated_at[rating.upstream] = now;
        if (rating.lifetime_milliseconds == 0)
            continue;
        auto const left = std::chrono::ceil<std::chrono::milliseconds>(
            each->expires_at - now);
        rating.lifetime_milliseconds = static_cast<std::uint16_t>(left.count());
    }
    this->waiting.erase(this->waiting.begin(), end);
    return taken;
}

bool rating_dissemination::record(
    time_point now, vm_id origin, std::uint32_t sequence)
{
    // A VM that restarts may use a number again, but not within this time.
    while (!this->seen.empty() &&
           now >= this->seen.front().seen_at + longest_lifetime)
        this->seen.pop_front();
    auto const is_same = [&](seen_listing const& each)
    {
        return each.origin == origin && each.sequence == sequence;
    };
    if (std::ranges::any_of(this->seen, is_same))
        return false;
    absl::erase_if(
        this->disseminated_at,
        [now](auto const& entry)
        {
            return now >= entry.second + longest_lifetime;
        });
    if (this->seen.size() >= maximum_seen)
        this->seen.pop_front();
    this->seen.push_back({origin, sequence, now});
    return true;
}

void rating_dissemination::forward(
    upstream_rating_listing const& listing, effect_list& effects)
{
    auto const targets =
        relay_targets(this->self, this->peers, listing.origin, this->fanout);
    for (vm_id const target : targets)
        effects.emplace_back(send_control{target, listing});
    this->sent_count += targets.size();
}

} // namespace cairnhead
