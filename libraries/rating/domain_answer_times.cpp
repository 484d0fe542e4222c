#include <rating/domain_answer_times.hpp>

#include <algorithm>
#include <utility>

namespace cairnhead
{

namespace
{

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

constexpr duration window = 200ms;

/// Quickest answers are kept for one to two of these.
constexpr duration quickest_period = 10s;

/// An earlier answer tells nothing about now.
constexpr duration lifetime = 30s;

using seconds = std::chrono::duration<double>;

} // namespace

domain_answer_times::answer_times::answer_times()
    : weight(window), relative(window), excess_seconds(window)
{
}

void domain_answer_times::record(
    time_point now,
    std::string_view pool,
    failure_domain_id domain,
    duration elapsed,
    duration usual)
{
    if (usual <= duration::zero())
        return;
    auto found = this->pools.find(pool);
    if (found == this->pools.end())
        found = this->pools.emplace(pool, pool_domains()).first;
    answer_times& times = found->second[domain];
    if (now >= times.period_ends_at)
    {
        bool const is_next = now < times.period_ends_at + quickest_period;
        times.quickest_before = is_next ? times.quickest : duration::max();
        times.quickest = duration::max();
        times.period_ends_at = now + quickest_period;
    }
    times.quickest = std::min(times.quickest, elapsed);
    times.weight.add(now, 1);
    times.relative.add(now, seconds(elapsed) / seconds(usual));
    times.excess_seconds.add(now, seconds(elapsed - usual).count());
    double const weight = times.weight.at(now);
    times.latest_relative = times.relative.at(now) / weight;
    times.latest_excess = std::chrono::duration_cast<duration>(
        seconds(times.excess_seconds.at(now) / weight));
    times.latest_at = now;
}

std::optional<domain_answer_time> domain_answer_times::find(
    time_point now, std::string_view pool, failure_domain_id domain) const
{
    auto const found = this->pools.find(pool);
    if (found == this->pools.end())
        return std::nullopt;
    auto const entry = found->second.find(domain);
    if (entry == found->second.end() ||
        now >= entry->second.latest_at + lifetime)
        return std::nullopt;
    answer_times const& times = entry->second;
    return domain_answer_time{
        .relative = times.latest_relative,
        .excess = times.latest_excess,
        .quickest = std::min(times.quickest, times.quickest_before),
        .latest_at = times.latest_at,
        .weight = times.weight.at(now)};
}

void domain_answer_times::expire(time_point now)
{
    for (auto& [pool, domains] : this->pools)
    {
        std::erase_if(
            domains,
            [now](auto const& entry)
            {
                return now >= entry.second.latest_at + lifetime;
            });
    }
    std::erase_if(
        this->pools,
        [](auto const& entry)
        {
            return entry.second.empty();
        });
}

} // namespace cairnhead
