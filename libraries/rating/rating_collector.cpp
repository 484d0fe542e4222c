#include <rating/rating_collector.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace cairnhead
{

namespace
{

using std::chrono_literals::operator""s;
using std::chrono_literals::operator""min;

/// Outside these an answer time differs from usual.
constexpr std::uint16_t lowest_usual_permille = 667;
constexpr std::uint16_t highest_usual_permille = 1500;

/// From here on an upstream is busy enough for the work to be told.
constexpr std::uint16_t notable_work_permille = 700;

/// From this share of short answers on, an upstream that answers errors or
/// refusals at once would look idle if nothing were told of it.
constexpr std::uint16_t notable_short_permille = 250;

/// A change by a fifth is announced at once.
constexpr int notable_part = 5;

/// Ratings that differ from usual are repeated so often; three times within
/// their lifetime.
constexpr duration repeat_period = 1s;

/// With fewer observations within about a second nothing is known of whether an
/// upstream is back to usual.
constexpr double fewest_observed = 2;
constexpr duration observed_window = 1s;

/// Upstreams collected for; the domain's divided by its VMs, and those of other
/// domains that own flows saw. Observations of further ones are dropped.
constexpr std::size_t maximum_upstreams = 4096;

constexpr duration pool_retention = 1min;

bool is_usual(std::uint16_t relative_permille)
{
    return relative_permille >= lowest_usual_permille &&
           relative_permille <= highest_usual_permille;
}

bool differs_from_usual(upstream_rating const& rating)
{
    return rating.is_ejected || !is_usual(rating.relative_permille) ||
           rating.work_permille >= notable_work_permille ||
           rating.short_permille >= notable_short_permille;
}

bool differs_by_a_fifth(int earlier, int later)
{
    return std::abs(later - earlier) * notable_part >= std::max(earlier, 1);
}

bool changed_notably(
    upstream_rating const& earlier, upstream_rating const& later)
{
    bool const is_time_told = !is_usual(earlier.relative_permille) ||
                              !is_usual(later.relative_permille);
    bool const is_work_told =
        std::max(earlier.work_permille, later.work_permille) >=
        notable_work_permille;
    bool const is_share_told =
        std::max(earlier.short_permille, later.short_permille) >=
        notable_short_permille;
    return earlier.is_ejected != later.is_ejected ||
           (is_time_told &&
            differs_by_a_fifth(
                earlier.relative_permille, later.relative_permille)) ||
           (is_work_told &&
            differs_by_a_fifth(earlier.work_permille, later.work_permille)) ||
           (is_share_told &&
            differs_by_a_fifth(earlier.short_permille, later.short_permille));
}

} // namespace

rating_collector::collected_upstream::collected_upstream(
    rated_upstream const& upstream)
    : instance(upstream.instance), life(upstream.life), domain(upstream.domain),
      pool(upstream.pool), statistics(upstream.tag), observed(observed_window)
{
}

void rating_collector::add_own(
    time_point now,
    rated_upstream const& upstream,
    request_observation const& seen)
{
    this->pool_of(now, upstream.pool).detector.add_own(now, seen);
}

void rating_collector::add_collected(
    time_point now,
    rated_upstream const& upstream,
    request_observation const& seen,
    observation_weight weight)
{
    auto found = this->upstreams.find(upstream.tag);
    if (found != this->upstreams.end() && found->second.life != upstream.life)
    {
        this->remove(found);
        found = this->upstreams.end();
    }
    if (found == this->upstreams.end())
    {
        if (this->upstreams.size() >= maximum_upstreams)
            return;
        found =
            this->upstreams.emplace(upstream.tag, collected_upstream(upstream))
                .first;
    }
    collected_upstream& state = found->second;
    state.observed.add(now, 1);
    observation_weight& left = state.remainder;
    left.requests += weight.requests;
    for (; left.requests >= 1; left.requests -= 1)
        state.statistics.add(now, seen, upstream.slots);
    auto& detector = this->pool_of(now, upstream.pool).detector;
    left.evidence += weight.evidence;
    for (; left.evidence >= 1; left.evidence -= 1)
        detector.add_collected(now, seen);
}

std::vector<rating_decision>
rating_collector::decide(time_point now, upstream_lookup find)
{
    this->advance_pools(now);
    std::vector<upstream_tag> tags;
    for (auto const& [tag, state] : this->upstreams)
        tags.push_back(tag);
    // The order of the hash table differs between processes.
    std::ranges::sort(tags);
    std::vector<rating_decision> decisions;
    for (upstream_tag const tag : tags)
    {
        auto const place = this->upstreams.find(tag);
        if (!this->is_current(now, place->second, find(tag)))
        {
            this->remove(place);
            continue;
        }
        if (auto const decision = this->decide(now, tag, place->second))
            decisions.push_back(*decision);
    }
    return decisions;
}

void rating_collector::retain(
    failure_domain_id domain,
    absl::FunctionRef<bool(instance_number)> is_collected)
{
    std::vector<upstream_tag> removed;
    for (auto const& [tag, state] : this->upstreams)
    {
        if (state.domain == domain && !is_collected(state.instance))
            removed.push_back(tag);
    }
    for (upstream_tag const tag : removed)
        this->remove(this->upstreams.find(tag));
}

std::vector<ejection_change> rating_collector::take_ejection_changes()
{
    std::vector<ejection_change> changes;
    for (auto& [name, pool] : this->pools)
    {
        auto const more = pool.detector.take_changes();
        changes.insert(changes.end(), more.begin(), more.end());
    }
    return changes;
}

std::optional<upstream_tag>
rating_collector::find_trial(time_point now, std::string_view pool) const
{
    auto const found = this->pools.find(pool);
    if (found == this->pools.end())
        return std::nullopt;
    return found->second.detector.find_trial(now);
}

void rating_collector::record_trial(
    time_point now, std::string_view pool, upstream_tag upstream)
{
    auto const found = this->pools.find(pool);
    if (found != this->pools.end())
        found->second.detector.record_trial(now, upstream);
}

void rating_collector::clear()
{
    this->upstreams.clear();
    this->pools.clear();
}

bool rating_collector::is_empty() const
{
    return this->upstreams.empty();
}

rating_collector::pool_state&
rating_collector::pool_of(time_point now, std::string_view pool)
{
    auto found = this->pools.find(pool);
    if (found == this->pools.end())
        found = this->pools.emplace(std::string(pool), pool_state()).first;
    found->second.used_at = now;
    return found->second;
}

bool rating_collector::is_current(
    time_point now,
    collected_upstream const& state,
    std::optional<rated_upstream> const& listed) const
{
    if (!listed || listed->life != state.life)
        return false;
    auto const pool = this->pools.find(state.pool);
    bool const is_ejected = pool != this->pools.end() &&
                            pool->second.detector.is_ejected(listed->tag);
    return is_ejected || !state.statistics.is_idle(now);
}

void rating_collector::remove(upstream_map::iterator removed)
{
    auto const pool = this->pools.find(removed->second.pool);
    if (pool != this->pools.end())
        pool->second.detector.remove(removed->first);
    this->upstreams.erase(removed);
}

void rating_collector::advance_pools(time_point now)
{
    if (now < this->advance_pools_at)
        return;
    this->advance_pools_at = now + 1s;
    for (auto& [name, pool] : this->pools)
        pool.detector.advance(now);
    std::erase_if(
        this->pools,
        [now](auto const& entry)
        {
            return now >= entry.second.used_at + pool_retention;
        });
}

std::optional<rating_decision> rating_collector::decide(
    time_point now, upstream_tag tag, collected_upstream& state) const
{
    upstream_rating rating = state.statistics.rating(now);
    auto const pool = this->pools.find(state.pool);
    rating.is_ejected =
        pool != this->pools.end() && pool->second.detector.is_ejected(tag);
    if (!differs_from_usual(rating))
    {
        bool const is_restored = state.announced && state.announced->is_ejected;
        bool const is_known = state.observed.at(now) >= fewest_observed;
        bool const must_end = state.announced && (is_restored || is_known);
        if (!must_end)
            return std::nullopt;
        state.announced.reset();
        return rating_decision{rating, true, state.domain};
    }
    bool const is_due = !state.announced || now >= state.repeat_at ||
                        changed_notably(*state.announced, rating);
    if (!is_due)
        return std::nullopt;
    state.announced = rating;
    state.repeat_at = now + repeat_period;
    return rating_decision{rating, false, state.domain};
}

} // namespace cairnhead
