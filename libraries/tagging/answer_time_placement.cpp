#include <tagging/answer_time_placement.hpp>

#include <algorithm>
#include <vector>

namespace cairnhead
{

namespace
{

constexpr double whole_permille = 1000.0;

/// An upstream that takes longer by more than this gets no new flow while half
/// of its failure domain is quicker.
constexpr double much_slower = 3.0;

/// Maximum of the random part of a load, as for `tagged_upstreams::choose`.
constexpr double tie_breaking_load = 0.01;

/// An upstream that answers sooner than usual gets no more for it: errors are
/// quick, and this VM may not know the route's usual length of answers yet.
double relative_time(placement_candidate const& upstream)
{
    if (!upstream.rating)
        return 1.0;
    return std::max(1.0, upstream.rating->relative_permille / whole_permille);
}

/// An upstream that answers only errors must still be comparable with others.
constexpr double least_good_share = 0.05;

/// How many tries a request needs there, in the mean: an upstream that refuses
/// or fails at once has little work in hand, and would look quick.
double expected_tries(placement_candidate const& upstream)
{
    if (!upstream.rating)
        return 1.0;
    double const good = 1.0 - upstream.rating->short_permille / whole_permille;
    return 1.0 / std::max(good, least_good_share);
}

bool is_much_slower(placement_candidate const& upstream)
{
    return relative_time(upstream) > much_slower;
}

/// The upstreams of a failure domain, and how many of them are much slower.
struct domain_speed
{
    failure_domain_id domain;
    std::size_t upstreams = 0;
    std::size_t slower = 0;
};

std::vector<domain_speed> speeds_of(std::span<placement_candidate const> ready)
{
    std::vector<domain_speed> speeds;
    for (placement_candidate const& upstream : ready)
    {
        auto known =
            std::ranges::find(speeds, upstream.domain, &domain_speed::domain);
        if (known == speeds.end())
            known = speeds.insert(known, {.domain = upstream.domain});
        ++known->upstreams;
        known->slower += is_much_slower(upstream) ? 1 : 0;
    }
    return speeds;
}

/// The upstreams that may be chosen. The comparison is with the own failure
/// domain: while all of a domain wait, its flows would otherwise all move to
/// the others at once.
std::vector<std::size_t> eligible_of(std::span<placement_candidate const> ready)
{
    auto const speeds = speeds_of(ready);
    auto const is_left_out = [&speeds](placement_candidate const& upstream)
    {
        if (!is_much_slower(upstream))
            return false;
        auto const known =
            std::ranges::find(speeds, upstream.domain, &domain_speed::domain);
        return 2 * known->slower <= known->upstreams;
    };
    std::vector<std::size_t> eligible;
    eligible.reserve(ready.size());
    for (std::size_t index = 0; index < ready.size(); ++index)
    {
        if (!is_left_out(ready[index]))
            eligible.push_back(index);
    }
    return eligible;
}

} // namespace

answer_time_placement::answer_time_placement(std::uint64_t seed) : random(seed)
{
}

std::size_t answer_time_placement::choose_quicker_of_two(
    std::span<placement_candidate const> ready)
{
    auto const eligible = eligible_of(ready);
    if (eligible.size() == 1)
        return eligible.front();
    std::size_t const first = this->random() % eligible.size();
    // Two different ones: the second is drawn from the others.
    std::size_t const second =
        (first + 1 + this->random() % (eligible.size() - 1)) % eligible.size();
    placement_candidate const& one = ready[eligible[first]];
    placement_candidate const& other = ready[eligible[second]];
    return expected_answer_time(other) < expected_answer_time(one)
               ? eligible[second]
               : eligible[first];
}

std::size_t answer_time_placement::choose_least_loaded(
    std::span<placement_candidate const> ready)
{
    std::uniform_real_distribution<double> tie_breaker(0.0, tie_breaking_load);
    auto const eligible = eligible_of(ready);
    std::size_t best = eligible.front();
    double best_load = 0;
    for (std::size_t const index : eligible)
    {
        placement_candidate const& upstream = ready[index];
        double const load = upstream.flow_load * relative_time(upstream) *
                                expected_tries(upstream) +
                            tie_breaker(this->random);
        bool const is_better = index == eligible.front() || load < best_load;
        if (!is_better)
            continue;
        best = index;
        best_load = load;
    }
    return best;
}

double
answer_time_placement::expected_answer_time(placement_candidate const& upstream)
{
    double const slots_in_use =
        upstream.rating
            ? upstream.slots * upstream.rating->work_permille / whole_permille
            : 0.0;
    // One more for the request itself: an idle slow upstream is slow, too.
    double const requests = slots_in_use + upstream.own_openings + 1;
    return relative_time(upstream) * expected_tries(upstream) * requests /
           upstream.slots;
}

} // namespace cairnhead
