#include <emulator/hard_load.hpp>

#include <criterion/criterion.h>

using namespace cairnhead;
using namespace cairnhead::emulator;
using namespace std::chrono_literals;

namespace
{

constexpr flow_number flow(7);

/// An upstream with one slot and a queue of two, and a flow to it.
class queue_of_two
{
public:
    queue_of_two()
        : time(time_point(1h)),
          upstream(
              one_slot(),
              {.queue_bound = 2, .repeats_answers = false},
              this->time,
              this->make_effects())
    {
        this->send({.flow = flow});
        this->send(
            {.flow = flow,
             .phase = packet_phase::ongoing,
             .progress = {1, this->opened + 1, false}});
    }

    void request(std::uint32_t number, duration work)
    {
        this->send(
            {.flow = flow,
             .phase = packet_phase::ongoing,
             .progress = {1, this->opened + 1, true},
             .request = number,
             .work = work,
             .answer_length = 2'000});
    }

    agenda time;
    emulated_upstream upstream;
    std::vector<std::uint32_t> runs;
    std::vector<upstream_packet> answers;

private:
    static registered_upstream one_slot()
    {
        registered_upstream self;
        self.slots = 1;
        return self;
    }

    upstream_effects make_effects()
    {
        return {
            [this](upstream_packet const& packet)
            {
                if (packet.kind == answer_kind::opened)
                    this->opened = packet.sequence;
                if (packet.kind == answer_kind::answered)
                    this->answers.push_back(packet);
            },
            [this](flow_number, std::uint32_t request)
            {
                this->runs.push_back(request);
            }};
    }

    void send(caller_packet const& packet)
    {
        this->upstream.receive(packet);
    }

    std::uint32_t opened = 0;
};

constexpr load_size small{6, {24, 6}};

std::uint64_t ends(load_outcome const& of)
{
    return of.in_time + of.late + of.refused + of.failed;
}

} // namespace

// A request that meets a full queue must not run: its caller sends it again
// even where it must run once.
Test(load, an_upstream_with_a_full_queue_refuses_at_once)
{
    queue_of_two full;
    for (std::uint32_t number = 1; number <= 4; ++number)
        full.request(number, 100ms);
    cr_assert_eq(full.answers.size(), 1);
    cr_expect(full.answers[0].status == answer_status::overflowed);
    cr_expect_eq(full.answers[0].request, 4);
    cr_expect_lt(full.answers[0].bytes, 200);
    cr_expect(!full.upstream.predict_end(1ms));
    full.time.run_for(1s);
    cr_expect(full.runs == std::vector<std::uint32_t>({1, 2, 3}));
    cr_expect_eq(full.answers.size(), 4);
}

// An upstream that fails looks idle: its requests take no slot.
Test(load, a_failing_upstream_answers_at_once_and_runs_nothing)
{
    queue_of_two failing;
    failing.upstream.set_failing(true);
    for (std::uint32_t number = 1; number <= 9; ++number)
        failing.request(number, 100ms);
    cr_assert_eq(failing.answers.size(), 9);
    for (upstream_packet const& each : failing.answers)
        cr_expect(each.status == answer_status::failed);
    cr_expect(failing.runs.empty());
}

// The bound is none if the placer's knowledge is wrong.
Test(load, an_end_is_as_predicted)
{
    queue_of_two busy;
    busy.upstream.set_slowness(5);
    busy.request(1, 10ms);
    busy.time.run_for(20ms);
    busy.request(2, 20ms);
    auto const end = busy.upstream.predict_end(30ms);
    cr_assert(end.has_value());
    cr_expect(*end == busy.time.now() + 30ms + 100ms + 150ms);
    busy.request(3, 30ms);
    busy.time.run_for(280ms);
    cr_expect_eq(busy.answers.size(), 3);
    cr_expect_eq(busy.answers.back().bytes, 2'000);
}

// A VM that saw each answer acknowledged at once would know times that it
// cannot know.
Test(load, a_single_last_packet_is_not_acknowledged_at_once)
{
    struct
    {
        std::uint32_t length;
        std::uint32_t at_once;
    } const cases[] = {{200, 0},       {1'200, 0},     {1'201, 1'201},
                       {2'000, 2'000}, {2'400, 2'400}, {2'401, 2'400},
                       {3'600, 2'400}, {4'000, 4'000}};
    for (auto const& each : cases)
        cr_expect_eq(
            acknowledged_at_once(each.length), each.at_once, "%u", each.length);
}

// Figures of two placements cannot be compared if their requests differ, or if
// some are counted twice or not at all.
Test(load, each_request_ends_once_and_all_methods_see_the_same)
{
    for (load_pattern const& pattern : load_patterns())
    {
        auto const flows = play_load(pattern, {.name = "flows"}, small, 3);
        auto const bound = play_load(
            pattern, {.name = "bound", .placer = request_placer::knows_all},
            small, 3);
        cr_expect_eq(flows.run_twice, 0);
        std::uint64_t by_vms = 0;
        std::uint64_t by_bound = 0;
        for (std::size_t route = 0; route < load_routes; ++route)
        {
            auto const& seen = flows.by_route[route];
            auto const& best = bound.by_route[route];
            cr_expect_gt(seen.arrived, 50);
            cr_expect_eq(seen.arrived, best.arrived);
            cr_expect_eq(ends(seen), seen.arrived);
            cr_expect_eq(ends(best), best.arrived);
            by_vms += seen.in_time;
            by_bound += best.in_time;
        }
        cr_expect_leq(by_vms, by_bound, "%s", pattern.name.data());
    }
}

// An experiment that no placement fails, or that none can serve, tells nothing.
Test(load, the_usual_load_is_served_in_time)
{
    auto const usual =
        play_load({.name = "usual"}, {.name = "flows"}, small, 3);
    for (auto const& seen : usual.by_route)
        cr_expect_gt(
            static_cast<double>(seen.in_time),
            0.99 * static_cast<double>(seen.arrived));
}
