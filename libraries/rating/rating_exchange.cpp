#include <rating/rating_exchange.hpp>

#include <algorithm>

namespace cairnhead
{

namespace
{

/// Ticks arrive many times within this, so a longer gap between events is a
/// pause of the process; see `pause_detector`.
constexpr duration shortest_pause = std::chrono::milliseconds(500);

/// How long after a pause messages may arrive that were queued during it: a
/// small VM gets its share of a processor every 100 ms.
constexpr duration queue_drain_time = std::chrono::milliseconds(200);

/// One observation stands for at most so many.
constexpr double largest_weight = 50;

/// Least weight of a notable observation as evidence for an ejection.
constexpr double smallest_evidence = .3;

constexpr double whole_permille = 1000;

double weight_of(std::uint16_t sampled_permille)
{
    double const share = std::max<double>(sampled_permille, 1);
    return std::min(whole_permille / share, largest_weight);
}

announced_rating to_announced(rating_decision const& decided)
{
    upstream_rating const& rating = decided.rating;
    auto const lifetime =
        std::chrono::duration_cast<std::chrono::milliseconds>(rating_lifetime);
    return {
        .upstream = rating.upstream,
        .relative_permille = rating.relative_permille,
        .short_permille = rating.short_permille,
        .work_permille = rating.work_permille,
        .is_ejected = rating.is_ejected,
        .lifetime_milliseconds =
            decided.is_end ? std::uint16_t(0)
                           : static_cast<std::uint16_t>(lifetime.count())};
}

upstream_rating to_rating(time_point now, announced_rating const& announced)
{
    duration const lifetime =
        std::chrono::milliseconds(announced.lifetime_milliseconds);
    return {
        .upstream = announced.upstream,
        .relative_permille = announced.relative_permille,
        .short_permille = announced.short_permille,
        .work_permille = announced.work_permille,
        .is_ejected = announced.is_ejected,
        .expires_at = now + std::min(lifetime, rating_lifetime)};
}

} // namespace

rating_exchange::rating_exchange(
    vm_identity const& own, std::size_t fanout, std::uint64_t seed)
    : self(own), ranking(own.domain), sender(seed),
      dissemination(own, fanout, seed)
{
}

void rating_exchange::record_event(time_point now)
{
    bool const was_paused = this->last_event_at != time_point() &&
                            now >= this->last_event_at + shortest_pause;
    this->last_event_at = now;
    if (!was_paused)
        return;
    this->sender.clear();
    this->collector.clear();
    this->dissemination.clear();
    this->ignores_until = now + queue_drain_time;
}

void rating_exchange::set_vms(std::span<vm_id const> vms)
{
    this->ranking.set_vms(vms);
    this->dissemination.set_vms(this->ranking);
    this->collector.retain(
        this->self.domain,
        [this](instance_number upstream)
        {
            return this->ranking.collector_of(upstream) == this->self.id;
        });
}

void rating_exchange::observe(
    time_point now,
    std::span<request_observation const> seen,
    upstream_lookup find)
{
    for (request_observation const& each : seen)
    {
        auto const upstream = find(each.upstream);
        if (!upstream)
            continue;
        this->collector.add_own(now, *upstream, each);
        auto const collects =
            upstream->domain == this->self.domain
                ? this->ranking.collector_of(upstream->instance)
                : this->self.id;
        if (collects.value_or(this->self.id) == this->self.id)
            this->collector.add_collected(now, *upstream, each);
        else
            this->sender.add(now, *collects, each);
    }
}

void rating_exchange::receive(
    time_point now,
    upstream_observation_listing const& listing,
    upstream_lookup find)
{
    ++this->counted.observations_received;
    if (this->is_ignoring_messages(now))
        return;
    double const usual = weight_of(listing.usual_sampled_permille);
    double const notable = weight_of(listing.notable_sampled_permille);
    // Where usual observations are rarer than others, few of either would do
    // for an ejection if they counted in full: with 314 VMs, 176 upstreams were
    // ejected within 7 s for a share of 8 %.
    double const ratio = std::max(usual / notable, 1.0);
    double const evidence = std::max(1 / ratio, smallest_evidence);
    observation_weight const usual_weight{usual, evidence * ratio};
    observation_weight const notable_weight{notable, evidence};
    for (request_observation const& each : listing.observations)
    {
        auto const upstream = find(each.upstream);
        // The sender may take this VM for the collector although this VM does
        // not: then another one collects too, and the later rating holds.
        if (!upstream || upstream->domain != this->self.domain)
            continue;
        this->collector.add_collected(
            now, *upstream, each,
            is_notable(each) ? notable_weight : usual_weight);
    }
}

std::vector<upstream_rating> rating_exchange::receive(
    time_point now,
    upstream_rating_listing const& listing,
    effect_list& effects)
{
    ++this->counted.ratings_received;
    bool const is_new = !this->is_ignoring_messages(now) &&
                        this->dissemination.receive(now, listing, effects);
    std::vector<upstream_rating> ratings;
    if (!is_new)
        return ratings;
    for (announced_rating const& each : listing.ratings)
        ratings.push_back(to_rating(now, each));
    return ratings;
}

rating_outcome rating_exchange::advance(
    time_point now, upstream_lookup find, effect_list& effects)
{
    rating_outcome outcome;
    this->counted.observations_sent += this->sender.advance(now, effects);
    if (now >= this->decide_at && !this->collector.is_empty())
        this->decide(now, find, outcome, effects);
    this->dissemination.advance(now, effects);
    return outcome;
}

std::optional<time_point> rating_exchange::next_due() const
{
    std::optional<time_point> due = this->sender.next_due();
    auto const consider = [&due](std::optional<time_point> at)
    {
        if (at && (!due || *at < *due))
            due = at;
    };
    consider(this->dissemination.next_due());
    if (!this->collector.is_empty())
        consider(this->decide_at);
    return due;
}

std::optional<upstream_tag>
rating_exchange::find_trial(time_point now, std::string_view pool) const
{
    return this->collector.find_trial(now, pool);
}

void rating_exchange::record_trial(
    time_point now, std::string_view pool, upstream_tag upstream)
{
    this->collector.record_trial(now, pool, upstream);
}

rating_counts rating_exchange::counts() const
{
    rating_counts counts = this->counted;
    counts.ratings_sent = this->dissemination.sent();
    return counts;
}

bool rating_exchange::is_ignoring_messages(time_point now) const
{
    return now < this->ignores_until;
}

void rating_exchange::decide(
    time_point now,
    upstream_lookup find,
    rating_outcome& outcome,
    effect_list& effects)
{
    this->decide_at = now + this->dissemination.interval();
    std::vector<announced_rating> announced;
    for (rating_decision const& decided : this->collector.decide(now, find))
    {
        announced.push_back(to_announced(decided));
        outcome.ratings.push_back(to_rating(now, announced.back()));
        if (decided.domain != this->self.domain)
            announced.pop_back();
    }
    this->dissemination.announce(now, announced, effects);
    outcome.ejections = this->collector.take_ejection_changes();
    this->counted.ejections += static_cast<std::uint64_t>(
        std::ranges::count_if(outcome.ejections, &ejection_change::is_ejected));
}

} // namespace cairnhead
