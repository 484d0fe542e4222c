#include <tagging/tagged_upstreams.hpp>

#include <base/hash.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace cairnhead
{

namespace
{

constexpr double whole_permille = 1000.0;

/// Further doublings of the back-off make no difference, and would overflow.
constexpr std::uint32_t maximum_doublings = 16;

upstream_endpoint endpoint_of(tagged_upstream const& upstream)
{
    return {upstream.registered.address, upstream.registered.port};
}

/// Whether `later` took over the address that both upstreams have registered.
/// False if `later` is missing from the registry, if one registry update listed
/// both (their order is unknown then), or if its incarnation does not show that
/// it started later, while that of `earlier` is known: where upstreams register
/// their incarnation, an entry without one may come from another program.
bool takes_over(tagged_upstream const& later, tagged_upstream const& earlier)
{
    bool const is_registered = !later.missing_since;
    bool const was_learned_later =
        later.learned_in_update > earlier.learned_in_update;
    incarnation const unknown{};
    bool const may_have_started_later =
        earlier.registered.life == unknown ||
        later.registered.life > earlier.registered.life;
    return is_registered && was_learned_later && may_have_started_later;
}

} // namespace

tagged_upstreams::tagged_upstreams(
    tagging_settings const& chosen,
    domain_reachability const& reachability,
    failure_domain_id own,
    std::uint64_t seed)
    : settings(chosen), domains(reachability), own_domain(own), random(seed),
      rated_placement(hash_pair(seed, 1))
{
}

tagged_upstreams::update_outcome tagged_upstreams::update(
    time_point now,
    upstream_listing const& before,
    upstream_listing const& listing)
{
    ++this->update_count;
    // Both listings are sorted by instance. A new listing differs from the
    // previous one in a few entries out of thousands, and processing every
    // entry is a noticeable load on small VMs.
    auto old = before.upstreams.begin();
    std::vector<registered_upstream const*> changed;
    for (registered_upstream const& registered : listing.upstreams)
    {
        while (old != before.upstreams.end() &&
               old->instance < registered.instance)
            this->mark_missing(now, (old++)->instance);
        bool const was_listed = old != before.upstreams.end() &&
                                old->instance == registered.instance;
        if (!was_listed || *old != registered)
            changed.push_back(&registered);
        old += was_listed ? 1 : 0;
    }
    for (; old != before.upstreams.end(); ++old)
        this->mark_missing(now, old->instance);
    // Upstreams that left were marked above, so that their tags are free for
    // those that registered.
    update_outcome outcome;
    for (registered_upstream const* const registered : changed)
        this->register_upstream(now, *registered, outcome);
    this->register_waiting_upstreams(now, outcome);
    return outcome;
}

void tagged_upstreams::clear()
{
    this->upstreams.clear();
    this->waiting_for_tag.clear();
    this->rebuild_index();
}

void tagged_upstreams::mark_missing(time_point now, instance_number instance)
{
    this->waiting_for_tag.erase(instance);
    tagged_upstream* const known = this->find(tag_of(instance));
    bool const is_same_instance = known != nullptr && !known->missing_since &&
                                  known->registered.instance == instance;
    if (is_same_instance)
        known->missing_since = now;
}

void tagged_upstreams::register_waiting_upstreams(
    time_point now, update_outcome& outcome)
{
    auto const waiting = std::exchange(this->waiting_for_tag, {});
    for (auto const& [instance, registered] : waiting)
        this->register_upstream(now, registered, outcome);
}

void tagged_upstreams::register_upstream(
    time_point now,
    registered_upstream const& registered,
    update_outcome& outcome)
{
    tagged_upstream* known = this->find(tag_of(registered.instance));
    // Two upstreams with the same tag would receive each other's packets and
    // reset flows that they do not hold. The upstream that had the tag first
    // keeps it; the other gets no flows until that one leaves.
    // NOTE: VMs that learn of both in the same update agree, as listings are
    // sorted. A VM that joined between the two may disagree.
    bool const is_taken = known != nullptr && !known->missing_since &&
                          known->registered.instance != registered.instance;
    if (is_taken)
    {
        this->waiting_for_tag.insert_or_assign(registered.instance, registered);
        return;
    }
    if (known == nullptr)
    {
        known = &this->upstreams.emplace_back();
        known->tag = tag_of(registered.instance);
        known->domain = make_failure_domain_id(registered.failure_domain);
        known->cold_until =
            now + std::chrono::milliseconds(registered.cold_milliseconds);
        known->registered = registered;
        known->learned_in_update = this->update_count;
        this->check_address_takeover(*known, outcome);
        this->add_to_index(this->upstreams.size() - 1);
        return;
    }
    bool const is_other_instance =
        known->registered.instance != registered.instance;
    bool const is_pool_changed = known->registered.pool != registered.pool;
    bool const is_restarted =
        known->registered.instance == registered.instance &&
        known->registered.life != registered.life;
    known->registered = registered;
    known->domain = make_failure_domain_id(registered.failure_domain);
    known->missing_since.reset();
    if (is_other_instance)
    {
        known->learned_in_update = this->update_count;
        this->check_address_takeover(*known, outcome);
    }
    if (is_restarted)
    {
        reset_after_restart(now, *known);
        outcome.restarted.push_back(known->tag);
    }
    if (is_pool_changed || is_other_instance)
        this->rebuild_index();
}

void tagged_upstreams::check_address_takeover(
    tagged_upstream const& registered, update_outcome& outcome)
{
    auto const earlier = this->by_endpoint.find(endpoint_of(registered));
    if (earlier == this->by_endpoint.end())
        return;
    tagged_upstream const* const before = this->find(earlier->second);
    if (before == nullptr || before == &registered)
        return;
    if (takes_over(registered, *before))
        outcome.taken_over.push_back(before->tag);
}

bool tagged_upstreams::is_address_taken_over(
    tagged_upstream const& upstream) const
{
    auto const newest = this->by_endpoint.find(endpoint_of(upstream));
    if (newest == this->by_endpoint.end() || newest->second == upstream.tag)
        return false;
    tagged_upstream const* const other = this->find(newest->second);
    return other != nullptr && takes_over(*other, upstream);
}

void tagged_upstreams::reset_after_restart(
    time_point now, tagged_upstream& restarted)
{
    // A restarted upstream holds none of its earlier flows, is in slow start
    // again, and has not been silent yet. Without this reset it would be
    // avoided for up to eight seconds for openings that its earlier
    // incarnation left unanswered, and would then get its full share of flows
    // while it is still slow. `flows` isn't reset here: it
    // decreases as the table of flows removes them.
    restarted.failures = 0;
    restarted.avoided_until = {};
    restarted.reach = {};
    restarted.openings_since_rating.clear();
    restarted.cold_until =
        now + std::chrono::milliseconds(restarted.registered.cold_milliseconds);
}

void tagged_upstreams::add_to_index(std::size_t index)
{
    tagged_upstream const& known = this->upstreams[index];
    this->by_tag[known.tag] = index;
    auto const [newest, is_first] =
        this->by_endpoint.try_emplace(endpoint_of(known), known.tag);
    tagged_upstream const* const before = this->find(newest->second);
    if (before == nullptr ||
        before->learned_in_update < known.learned_in_update)
        newest->second = known.tag;
    this->pools[known.registered.pool].push_back(index);
}

void tagged_upstreams::forget_old(time_point now)
{
    auto const removed = std::erase_if(
        this->upstreams,
        [&](tagged_upstream const& upstream)
        {
            return upstream.missing_since &&
                   now > *upstream.missing_since +
                             this->settings.upstream_retention;
        });
    if (removed > 0)
        this->rebuild_index();
}

void tagged_upstreams::rebuild_index()
{
    this->by_tag.clear();
    this->by_endpoint.clear();
    this->pools.clear();
    for (std::size_t index = 0; index < this->upstreams.size(); ++index)
        this->add_to_index(index);
}

tagged_upstream* tagged_upstreams::find(upstream_tag tag)
{
    auto const found = this->by_tag.find(tag);
    if (found == this->by_tag.end())
        return nullptr;
    return &this->upstreams[found->second];
}

tagged_upstream const* tagged_upstreams::find(upstream_tag tag) const
{
    auto const found = this->by_tag.find(tag);
    return found == this->by_tag.end() ? nullptr
                                       : &this->upstreams[found->second];
}

upstream_tag tagged_upstreams::opening_tag_of(
    tagged_upstream const& upstream,
    std::uint32_t opening_sequence,
    offer_standing standing) const
{
    upstream_tag const provisional =
        toggle_provisional(upstream.tag, opening_sequence, standing);
    bool const is_taken =
        provisional == upstream_tag() || this->find(provisional) != nullptr;
    return is_taken ? upstream.tag : provisional;
}

upstream_view tagged_upstreams::view_of(
    time_point now,
    tagged_upstream const& upstream,
    std::span<upstream_tag const> ejected) const
{
    upstream_view view;
    view.verdict = this->verdict_among(now, upstream, ejected);
    view.rating = this->rating_of(now, upstream);
    double const slowness =
        view.rating ? view.rating->relative_permille / whole_permille : 1.0;
    view.load_permille = static_cast<std::uint32_t>(
        std::lround(this->load_of(now, upstream) * slowness * whole_permille));
    view.unanswered = upstream.failures;
    if (upstream.reach.answered_at() != time_point())
        view.answered_at = upstream.reach.answered_at();
    view.silent_since = upstream.reach.silent_since();
    if (now < upstream.avoided_until)
        view.avoided_until = upstream.avoided_until;
    view.missing_since = upstream.missing_since;
    if (now < upstream.cold_until)
        view.cold_until = upstream.cold_until;
    return view;
}

upstream_candidate tagged_upstreams::candidate_of(
    time_point now,
    tagged_upstream const& upstream,
    std::span<upstream_tag const> ejected) const
{
    return {
        upstream.registered, upstream.flows,
        this->view_of(now, upstream, ejected)};
}

std::vector<upstream_candidate>
tagged_upstreams::registered_candidates(time_point now) const
{
    std::vector<upstream_tag> ejected;
    for (auto const& [pool, members] : this->pools)
    {
        auto const of_pool = this->ejected_of(now, members);
        ejected.insert(ejected.end(), of_pool.begin(), of_pool.end());
    }
    std::ranges::sort(ejected);
    std::vector<upstream_candidate> found;
    for (tagged_upstream const& one : this->upstreams)
    {
        if (!one.missing_since)
            found.push_back(this->candidate_of(now, one, ejected));
    }
    return found;
}

std::vector<upstream_candidate>
tagged_upstreams::candidates(time_point now, std::string_view pool) const
{
    std::vector<upstream_candidate> found;
    auto const members = this->pools.find(pool);
    if (members == this->pools.end())
        return found;
    auto const ejected = this->ejected_of(now, members->second);
    for (std::size_t const index : members->second)
    {
        tagged_upstream const& one = this->upstreams[index];
        found.push_back(this->candidate_of(now, one, ejected));
    }
    std::ranges::sort(
        found, {},
        [](upstream_candidate const& one)
        {
            return std::tuple(
                tier_for(one.view.verdict), one.view.load_permille,
                one.registered.instance);
        });
    return found;
}

void tagged_upstreams::record_unanswered(
    time_point now, tagged_upstream& upstream) const
{
    auto const doublings = std::min(upstream.failures, maximum_doublings);
    duration const backoff =
        this->settings.avoidance_minimum * (1LL << doublings);
    ++upstream.failures;
    upstream.reach.record_silence(now);
    upstream.avoided_until =
        now + std::min(backoff, this->settings.avoidance_maximum);
}

void tagged_upstreams::record_answered(time_point at, tagged_upstream& upstream)
{
    upstream.reach.record_answered(at);
    if (upstream.reach.is_silent())
        return;
    upstream.failures = 0;
    upstream.avoided_until = std::min(upstream.avoided_until, at);
}

std::size_t tagged_upstreams::count_silent(failure_domain_id domain) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->upstreams,
        [domain](tagged_upstream const& one)
        {
            return one.domain == domain && one.reach.is_silent() &&
                   !one.missing_since;
        }));
}

std::vector<connection_target>
tagged_upstreams::choose_reference_upstreams(upstream_tag suspect) const
{
    tagged_upstream const* near = nullptr;
    tagged_upstream const* far = nullptr;
    for (tagged_upstream const& one : this->upstreams)
    {
        if (one.tag == suspect || one.missing_since || one.reach.is_silent())
            continue;
        auto& best = one.domain == this->own_domain ? near : far;
        if (best == nullptr ||
            one.reach.answered_at() > best->reach.answered_at())
            best = &one;
    }
    std::vector<connection_target> chosen;
    for (tagged_upstream const* const one : {near, far})
    {
        if (one != nullptr)
            chosen.push_back({one->registered.address, one->registered.port});
    }
    return chosen;
}

std::string tagged_upstreams::name_of(failure_domain_id domain) const
{
    auto const found =
        std::ranges::find(this->upstreams, domain, &tagged_upstream::domain);
    return found == this->upstreams.end() ? std::string()
                                          : found->registered.failure_domain;
}

std::span<tagged_upstream const> tagged_upstreams::all() const
{
    return this->upstreams;
}

} // namespace cairnhead
