#include "router_fixture.hpp"

#include <algorithm>

using namespace cairnhead;
using namespace cairnhead::tagging_test;

namespace
{

constexpr duration usual = 40ms;

tagging_settings rating_settings()
{
    tagging_settings settings;
    settings.placement = placement_rule::answer_times;
    return settings;
}

/// A VM with two upstreams, whose callers have made requests of 40 ms with
/// answers of 2,000 bytes on one flow to each.
struct rating_vm
{
    explicit rating_vm(tagging_settings const& settings = rating_settings())
        : fixture({make_upstream(1), make_upstream(2)}, settings)
    {
        while (this->flows[0] == 0 || this->flows[1] == 0)
        {
            ++this->opened;
            auto const instance = this->fixture.open(this->opened);
            this->flows.at(instance - 1) = this->opened;
            this->acknowledge(instance);
        }
        for (int round = 0; round < 20; ++round)
        {
            this->answer(1, usual);
            this->answer(2, usual);
        }
    }

    /// Sends a request on the flow to this upstream.
    void request(std::uint64_t instance)
    {
        this->fixture.request_with_acknowledgement(
            this->flow(instance), instance, this->sequence += 100,
            this->acknowledged.at(instance - 1));
    }

    void acknowledge(std::uint64_t instance, std::uint32_t length = 0)
    {
        this->acknowledged.at(instance - 1) += length;
        this->fixture.acknowledge(
            this->flow(instance), instance,
            this->acknowledged.at(instance - 1));
    }

    void answer(
        std::uint64_t instance, duration elapsed, std::uint32_t length = 2'000)
    {
        this->request(instance);
        this->fixture.now += elapsed;
        this->acknowledge(instance, length);
    }

    [[nodiscard]] std::uint64_t flow(std::uint64_t instance) const
    {
        return this->flows.at(instance - 1);
    }

    std::vector<request_observation> take()
    {
        return this->fixture.router.take_observations();
    }

    router_fixture fixture;
    std::uint64_t opened = 0;
    std::array<std::uint64_t, 2> flows{};
    std::array<std::uint32_t, 2> acknowledged{500, 500};
    std::uint32_t sequence = 1'000;
};

request_observation
observation(std::uint64_t instance, request_outcome outcome, int factor)
{
    return {
        .upstream = tag_of(instance_number(instance)),
        .outcome = outcome,
        .relative_permille = static_cast<std::uint16_t>(1'000 * factor),
        .answer_milliseconds = static_cast<std::uint32_t>(40 * factor)};
}

} // namespace

Test(request_observations, answers_are_observed_relative_to_the_usual)
{
    rating_vm vm;
    cr_expect_eq(vm.take().size(), 40);
    vm.answer(1, usual);
    vm.answer(2, 3 * usual);
    std::vector const expected{
        observation(1, request_outcome::answered, 1),
        observation(2, request_outcome::answered, 3)};
    cr_expect(vm.take() == expected);
    cr_expect(vm.take().empty());
}

// Guards against a cost, or messages, where placement goes by flows alone.
Test(request_observations, there_are_none_where_flows_decide)
{
    rating_vm vm{tagging_settings()};
    vm.request(1);
    vm.fixture.wait(1s);
    cr_expect(vm.take().empty());
}

// Symptom: an upstream that freezes gets new flows until its callers give up.
// Cause: only answers were observed, and there are none.
Test(request_observations, a_request_is_observed_while_it_still_waits)
{
    rating_vm vm;
    (void)vm.take();
    vm.request(1);
    vm.fixture.wait(3 * usual);
    cr_expect(vm.take().empty());
    vm.fixture.wait(usual);
    auto const waiting = vm.take();
    cr_assert_eq(waiting.size(), 1);
    cr_expect(
        waiting.front() == observation(1, request_outcome::unanswered, 4));
    // It is one request: neither time nor its answer makes another one of it.
    vm.fixture.wait(10 * usual);
    vm.acknowledge(1, 2'000);
    cr_expect(vm.take().empty());
}

// Guards against this VM's own pause being taken for silence of upstreams.
Test(request_observations, requests_before_a_pause_are_not_observed)
{
    rating_vm vm;
    vm.fixture.wait(usual);
    (void)vm.take();
    vm.request(1);
    vm.request(2);
    vm.fixture.wait(2s);
    cr_expect(vm.take().empty());
    vm.acknowledge(1, 2'000);
    auto const seen = vm.take();
    cr_assert_eq(seen.size(), 1);
    cr_expect_eq(seen.front().relative_permille, 0);
}

Test(request_observations, errors_are_short_answers_and_few_of_each_flow)
{
    rating_vm vm;
    (void)vm.take();
    for (int round = 0; round < 10; ++round)
        vm.answer(1, usual, 100);
    auto const seen = vm.take();
    cr_assert_eq(seen.size(), 1);
    cr_expect(seen.front().outcome == request_outcome::short_answer);
}

// Guards against memory that grows where nobody takes the observations.
Test(request_observations, their_number_is_bounded)
{
    rating_vm vm;
    for (int round = 0; round < 2'000; ++round)
        vm.answer(1, usual);
    cr_expect_eq(vm.take().size(), 1'000);
}

// Symptom: an upstream that restarted stays excluded for what it did before.
Test(request_observations, a_restart_drops_what_was_observed)
{
    rating_vm vm;
    upstream_rating slow{.upstream = upstream_tag(1), .expires_at = {}};
    slow.expires_at = vm.fixture.now + 3s;
    vm.fixture.router.apply_rating(vm.fixture.now, slow);
    auto const rating = [&vm]
    {
        return vm.fixture.router.rating_of(vm.fixture.now, upstream_tag(1));
    };
    cr_expect(rating() == slow);
    auto restarted = make_upstream(1);
    restarted.life = incarnation(2);
    vm.fixture.list({restarted, make_upstream(2)});
    cr_expect(!rating());
    auto const left = vm.take();
    cr_expect_eq(left.size(), 20);
    cr_expect_eq(
        std::ranges::count(
            left, upstream_tag(1), &request_observation::upstream),
        0);
}

// Symptom: nobody sees that an upstream is stuck which serves long flows alone.
// Cause: answers of one packet are acknowledged with the next request, so that
// silence tells nothing there; but the caller repeats an unanswered request.
Test(request_observations, a_repeated_request_was_not_answered)
{
    rating_vm vm;
    for (int round = 0; round < 30; ++round)
    {
        vm.request(1);
        vm.fixture.now += 3s;
        vm.acknowledged[0] += 2'000;
    }
    vm.request(1);
    (void)vm.take();
    vm.fixture.wait(200ms);
    cr_expect(vm.take().empty());
    vm.fixture.request_with_acknowledgement(
        vm.flow(1), 1, vm.sequence, vm.acknowledged[0]);
    std::vector const expected{observation(1, request_outcome::unanswered, 5)};
    cr_expect(vm.take() == expected);
}

// Guards against requests of flows that carry one each being lost: only the FIN
// tells that they were answered.
Test(request_observations, the_fin_of_a_flow_tells_of_its_only_request)
{
    router_fixture vm({make_upstream(1)}, rating_settings());
    for (std::uint64_t flow = 1; flow <= 21; ++flow)
    {
        vm.establish(flow);
        vm.acknowledge(flow, 1, 500);
        vm.request(flow, 1);
        vm.now += flow <= 20 ? usual : 2 * usual;
        vm.close(flow, 1, 2'500);
    }
    auto const seen = vm.router.take_observations();
    cr_assert_eq(seen.size(), 21);
    cr_expect(seen.back() == observation(1, request_outcome::answered, 2));
}
