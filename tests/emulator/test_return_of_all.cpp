#include <emulator/emulated_fleet.hpp>

#include <algorithm>
#include <criterion/criterion.h>
#include <cstdio>
#include <optional>
#include <vector>

using namespace cairnhead;
using namespace cairnhead::emulator;
using namespace std::chrono_literals;

namespace
{

/// How long after its start a VM could do something first.
struct start_times
{
    std::vector<duration> forwards;
    std::vector<duration> places;

    static duration median_of(std::vector<duration> times)
    {
        std::ranges::sort(times);
        return times.at(times.size() / 2);
    }
};

/// A fleet of the second deployment, with small VMs on slow links, that loses
/// power and returns with its seeds last.
class returning_fleet
{
public:
    explicit returning_fleet(std::uint64_t seed) : fleet(make_shape(), seed)
    {
        this->fleet.start_all();
        this->fleet.run_for(20s);
    }

    start_times lose_power()
    {
        std::vector<std::uint32_t> seeds;
        std::vector<std::uint32_t> others;
        for (std::uint32_t vm = 0; vm < make_shape().vms; ++vm)
            (vm < seed_count ? seeds : others).push_back(vm);
        this->fleet.restart(seeds, 300ms);
        this->fleet.restart(others, 0ms);
        std::vector<progress> all(make_shape().vms);
        for (duration passed{}; passed < 3s; passed += 1ms)
        {
            this->fleet.run_for(1ms);
            for (std::uint32_t vm = 0; vm < all.size(); ++vm)
                this->note(vm, passed, all[vm]);
        }
        start_times times;
        for (progress const& each : all)
        {
            cr_assert(each.forwards_at && each.places_at);
            times.forwards.push_back(*each.forwards_at - *each.started_at);
            times.places.push_back(*each.places_at - *each.started_at);
        }
        return times;
    }

private:
    struct progress
    {
        std::optional<duration> started_at;
        std::optional<duration> forwards_at;
        std::optional<duration> places_at;
    };

    static topology make_shape()
    {
        topology shape;
        shape.vms = 115;
        shape.upstreams = 150;
        shape.addresses = 1945;
        shape.failure_domains = 3;
        shape.regions = 1;
        shape.delay_between_domains = 1400us;
        shape.link_megabits = 10;
        shape.seed_link_megabits = 200;
        shape.items_per_page = 50;
        return shape;
    }

    void note(std::uint32_t vm, duration passed, progress& seen) const
    {
        if (!this->fleet.is_running(vm))
            return;
        reducer const& state = this->fleet.reducer_of(vm);
        if (!seen.started_at)
            seen.started_at = passed;
        if (!seen.forwards_at && state.can_forward_flows())
            seen.forwards_at = passed;
        if (!seen.places_at && state.can_place_openings())
            seen.places_at = passed;
    }

    emulated_fleet fleet;
};

long to_milliseconds(duration time)
{
    return static_cast<long>(time / 1ms);
}

} // namespace

// Guards against callers that wait for their next answer after a loss of power
// until the seeds have started and the routes have come over a slow link.
Test(return_of_all, open_flows_are_served_soon)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        returning_fleet fleet(seed);
        start_times const times = fleet.lose_power();
        auto const median = start_times::median_of(times.forwards);
        auto const last = std::ranges::max(times.forwards);
        std::printf(
            "seed=%lu forwards_ms median=%ld last=%ld places_ms median=%ld "
            "last=%ld\n",
            seed, to_milliseconds(median), to_milliseconds(last),
            to_milliseconds(start_times::median_of(times.places)),
            to_milliseconds(std::ranges::max(times.places)));
        cr_expect_leq(median, 120ms);
        cr_expect_leq(last, 250ms);
    }
}
