#include <tagging/answer_time_placement.hpp>

#include <criterion/criterion.h>
#include <vector>

using namespace cairnhead;

namespace
{

constexpr std::uint64_t seed = 20260101;
constexpr int choices = 2000;
constexpr failure_domain_id here(1);
constexpr failure_domain_id there(2);

placement_candidate make_usual(failure_domain_id domain = here)
{
    return {
        .domain = domain,
        .rating = {},
        .slots = 2,
        .own_openings = 0,
        .flow_load = 0.5};
}

placement_candidate make_rated(
    std::uint16_t relative, std::uint16_t work, failure_domain_id domain = here)
{
    upstream_rating rating;
    rating.relative_permille = relative;
    rating.work_permille = work;
    placement_candidate made = make_usual(domain);
    made.rating = rating;
    return made;
}

/// How often each upstream is chosen.
template <typename Choice>
std::vector<int> count_choices(std::size_t upstreams, Choice const& choose)
{
    std::vector<int> chosen(upstreams);
    for (int choice = 0; choice < choices; ++choice)
        ++chosen[choose()];
    return chosen;
}

} // namespace

// Symptom: a fifth of the upstreams answers five times as slowly, and a fifth
// of the requests is late. Cause: placement sees flows only.
Test(answer_time_placement, much_slower_upstreams_get_no_flow)
{
    std::vector<placement_candidate> ready(20, make_usual());
    for (std::size_t index = 0; index < 4; ++index)
        ready[index] = make_rated(5000, 0);
    answer_time_placement placement(seed);
    auto const of_two = count_choices(
        ready.size(),
        [&]
        {
            return placement.choose_quicker_of_two(ready);
        });
    auto const least = count_choices(
        ready.size(),
        [&]
        {
            return placement.choose_least_loaded(ready);
        });
    for (std::size_t index = 0; index < ready.size(); ++index)
    {
        bool const is_slow = index < 4;
        cr_expect_eq(of_two[index] == 0, is_slow);
        cr_expect_eq(least[index] == 0, is_slow);
    }
}

// Symptom: all requests of a failure domain move to the others at once, and
// back. Cause: its upstreams are all slow under its load, and are all left out.
Test(answer_time_placement, a_domain_that_is_slow_as_a_whole_keeps_its_flows)
{
    std::vector<placement_candidate> ready(4, make_rated(5000, 1000));
    ready.resize(12, make_usual(there));
    for (std::size_t index = 4; index < ready.size(); ++index)
        ready[index].flow_load = 8;
    answer_time_placement placement(seed);
    for (int choice = 0; choice < choices; ++choice)
        cr_expect_lt(placement.choose_least_loaded(ready), 4);
}

// Symptom: the quickest upstream of a domain gets the flows of all VMs at once,
// and is the slowest a moment later. Cause: all VMs take the best by the same
// ratings.
Test(answer_time_placement, no_upstream_gets_more_than_its_share_of_two_draws)
{
    std::vector<placement_candidate> ready(10, make_rated(1000, 900));
    ready[0] = make_rated(700, 0);
    ready[1] = make_rated(2900, 2000);
    answer_time_placement placement(seed);
    auto const chosen = count_choices(
        ready.size(),
        [&]
        {
            return placement.choose_quicker_of_two(ready);
        });
    // The best is drawn in 2 of 10 pairs, and the worst is never the better.
    cr_expect_lt(chosen[0], choices * 0.24);
    cr_expect_gt(chosen[0], choices * 0.16);
    cr_expect_eq(chosen[1], 0);
}

Test(answer_time_placement, work_in_hand_and_own_openings_make_it_slower)
{
    auto const time = answer_time_placement::expected_answer_time;
    placement_candidate const usual = make_usual();
    placement_candidate own = usual;
    own.own_openings = 1;
    cr_expect_lt(time(usual), time(own));
    cr_expect_lt(time(usual), time(make_rated(1000, 700)));
    cr_expect_lt(time(usual), time(make_rated(2000, 0)), "idle, but slow");
    placement_candidate one = usual;
    answer_time_placement placement(seed);
    cr_expect_eq(placement.choose_quicker_of_two({&one, 1}), 0);
    cr_expect_eq(placement.choose_least_loaded({&one, 1}), 0);
}
