#include "fixture.hpp"

#include <placement/prediction_history.hpp>

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace cairnhead;
using namespace cairnhead::testing;

namespace
{

std::vector<weighted_upstream> make_set(std::vector<std::uint32_t> const& ids)
{
    std::vector<weighted_upstream> result;
    result.reserve(ids.size());
    for (auto const id : ids)
    {
        result.emplace_back(upstream_id(id), 2);
    }
    return result;
}

} // namespace

Test(rendezvous, flows_are_proportional_to_slots)
{
    std::vector<weighted_upstream> const set = {
        {upstream_id(1), 1}, {upstream_id(2), 2}, {upstream_id(3), 7}};
    std::vector<std::uint32_t> counts(4);
    for (std::uint64_t flow = 0; flow < 100'000; ++flow)
    {
        counts[first_choice(placement_fixture::make_flow(flow), set)
                   ->value()] += 1;
    }
    cr_assert(counts[1] > 9'600 && counts[1] < 10'400);
    cr_assert(counts[2] > 19'500 && counts[2] < 20'500);
    cr_assert(counts[3] > 69'500 && counts[3] < 70'500);
}

Test(rendezvous, ranks_are_the_same_in_every_build)
{
    // These ranks are part of the protocol between VMs: releases that run side
    // by side must compute the same ones.
    cr_assert_eq(
        rendezvous_rank(flow_id(1), {upstream_id(10), 1}),
        101514043591753728ULL);
    cr_assert_eq(
        rendezvous_rank(flow_id(2), {upstream_id(11), 3}),
        79594684101670920ULL);
}

Test(rendezvous, removal_moves_only_flows_of_the_removed_upstream)
{
    rc::detail::TestParams parameters;
    parameters.seed = 4711;
    auto const property = [](std::uint64_t flow, std::uint8_t removed)
    {
        auto set = make_set({1, 2, 3, 4, 5});
        auto const before = first_choice(flow_id(flow), set);
        auto const removed_member = set.begin() + removed % 5;
        auto const removed_id = removed_member->id;
        set.erase(removed_member);
        RC_ASSERT(
            before == removed_id || first_choice(flow_id(flow), set) == before);
    };
    auto const result = rc::detail::checkTestable(
        property, rc::detail::TestMetadata{}, parameters);
    cr_assert(result.is<rc::detail::SuccessResult>());
}

Test(rendezvous, predicts_only_where_all_retained_sets_agree)
{
    // A flow that has lost its pin must not be reset after a change of
    // upstreams. It is opened under one set, another set comes into force, its
    // pin is lost, and its next packet goes to the upstream that the new set
    // yields. The fault: the prediction discarded the set under which the flow
    // was opened.
    prediction_history history;
    cr_assert(!history.predict(flow_id(1)));
    auto const first = make_set({1, 2, 3});
    auto const second = make_set({1, 2, 3, 4});
    history.add(first);
    history.add(second);
    history.add(second);
    std::uint32_t predicted = 0;
    for (std::uint64_t number = 0; number < 1000; ++number)
    {
        auto const flow = placement_fixture::make_flow(number);
        auto const prediction = history.predict(flow);
        auto const choice_in_first = first_choice(flow, first);
        cr_assert_eq(
            prediction.has_value(),
            choice_in_first == first_choice(flow, second));
        cr_assert(!prediction || prediction == choice_in_first);
        predicted += prediction ? 1 : 0;
    }
    cr_assert(predicted > 700 && predicted < 800);
    // A set is discarded once three newer ones are in force.
    history.add(make_set({4}));
    history.add(make_set({4, 5}));
    history.add(make_set({4, 6}));
    std::uint32_t predicted_at_fourth = 0;
    for (std::uint64_t number = 0; number < 1000; ++number)
    {
        auto const prediction =
            history.predict(placement_fixture::make_flow(number));
        predicted_at_fourth += prediction == upstream_id(4) ? 1 : 0;
    }
    cr_assert(predicted_at_fourth > 280 && predicted_at_fourth < 390);
}
