#include <rating/outlier_detector.hpp>
#include <rating/route_baseline.hpp>
#include <rating/upstream_statistics.hpp>

#include <algorithm>
#include <criterion/criterion.h>
#include <functional>
#include <random>
#include <vector>

using namespace cairnhead;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t vm_count = 38;
constexpr std::uint32_t upstream_count = 40;
constexpr std::uint32_t slots = 2;
constexpr double requests_per_second = 480;
constexpr duration usual = 50ms;

/// What an upstream makes of a request.
struct upstream_behavior
{
    double error_share = 0;
    int slowness = 1;
};

/// One failure domain of the second deployment: its VMs see answers of its
/// upstreams, and each upstream has a VM that collects what they saw.
class simulated_domain
{
public:
    simulated_domain(
        std::uint64_t seed,
        std::function<upstream_behavior(std::uint32_t)> chosen)
        : behavior(std::move(chosen)), random(seed), detectors(vm_count),
          baselines(vm_count)
    {
        for (std::uint32_t number = 0; number < upstream_count; ++number)
            this->statistics.emplace_back(upstream_tag(number + 1));
    }

    /// Lets requests be answered; all are as usual unless it misbehaves.
    void run(duration length, bool misbehaves)
    {
        std::exponential_distribution<double> gaps(requests_per_second);
        time_point const until = this->now + length;
        while (this->now < until)
        {
            this->now += std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(gaps(this->random)));
            this->answer(misbehaves);
        }
        for (outlier_detector& detector : this->detectors)
            detector.advance(this->now);
    }

    [[nodiscard]] bool is_ejected(std::uint32_t upstream) const
    {
        return this->detectors[upstream % vm_count].is_ejected(
            upstream_tag(upstream + 1));
    }

    /// How many of the upstreams from `first` to before `last` are ejected.
    [[nodiscard]] std::uint32_t
    ejected(std::uint32_t first, std::uint32_t last) const
    {
        std::uint32_t found = 0;
        for (std::uint32_t upstream = first; upstream < last; ++upstream)
            found += this->is_ejected(upstream) ? 1 : 0;
        return found;
    }

    [[nodiscard]] upstream_rating rating(std::uint32_t upstream) const
    {
        return this->statistics[upstream].rating(this->now);
    }

private:
    void answer(bool misbehaves)
    {
        auto const upstream =
            static_cast<std::uint32_t>(this->random() % upstream_count);
        auto const vm = this->random() % vm_count;
        upstream_behavior const does =
            misbehaves ? this->behavior(upstream) : upstream_behavior();
        bool const is_error =
            std::bernoulli_distribution(does.error_share)(this->random);
        std::uniform_real_distribution<double> spread(.7, 1.3);
        auto const elapsed = std::chrono::duration_cast<duration>(
            spread(this->random) * does.slowness * usual);
        auto const seen = this->baselines[vm].record_answer(
            this->now, upstream_tag(upstream + 1),
            {answer_evidence::acknowledgement, is_error ? 3ms : elapsed,
             is_error ? 120U : 2'000U});
        this->detectors[vm].add_own(this->now, seen);
        this->detectors[upstream % vm_count].add_collected(this->now, seen);
        this->statistics[upstream].add(this->now, seen, slots);
    }

    std::function<upstream_behavior(std::uint32_t)> behavior;
    std::mt19937_64 random;
    time_point now{1h};
    std::vector<outlier_detector> detectors;
    std::vector<route_baseline> baselines;
    std::vector<upstream_statistics> statistics;
};

} // namespace

// Load pattern: of 40 upstreams four answer errors at once, and two answer half
// of their requests so.
Test(domain_load, failing_upstreams_are_ejected_and_others_are_not)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed)
    {
        simulated_domain domain(
            seed,
            [](std::uint32_t upstream)
            {
                double const share = upstream < 4 ? 1 : upstream < 6 ? .5 : 0;
                return upstream_behavior{.error_share = share};
            });
        domain.run(10s, false);
        cr_expect_eq(domain.ejected(0, upstream_count), 0);
        domain.run(1500ms, true);
        cr_expect_eq(domain.ejected(0, 4), 4);
        // Those that answer half of the requests pass some of their trials.
        std::uint32_t most_ejected = 0;
        for (int second = 0; second < 20; ++second)
        {
            domain.run(1s, true);
            most_ejected = std::max(most_ejected, domain.ejected(4, 6));
            cr_expect_eq(domain.ejected(6, upstream_count), 0);
        }
        cr_expect_eq(most_ejected, 2);
    }
}

// Load pattern: a burst in which every upstream refuses the same share. The
// time at which it begins is critical: upstreams that refuse differ from what
// was usual until then.
Test(domain_load, overload_ejects_hardly_any_upstream)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed)
    {
        for (double const share : {.1, .25, .5, .9, 1.0})
        {
            simulated_domain domain(
                seed,
                [share](std::uint32_t)
                {
                    return upstream_behavior{.error_share = share};
                });
            domain.run(10s, false);
            for (int second = 0; second < 10; ++second)
            {
                domain.run(1s, true);
                cr_expect_leq(domain.ejected(0, upstream_count), 1);
            }
        }
    }
}

// Load pattern: a sixth of the upstreams is five times as slow.
Test(domain_load, slow_upstreams_are_rated_within_seconds)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed)
    {
        simulated_domain domain(
            seed,
            [](std::uint32_t upstream)
            {
                return upstream_behavior{.slowness = upstream < 7 ? 5 : 1};
            });
        domain.run(10s, false);
        domain.run(1500ms, true);
        for (std::uint32_t upstream = 0; upstream < 7; ++upstream)
            cr_expect_gt(domain.rating(upstream).relative_permille, 2'000);
        domain.run(1500ms, true);
        for (std::uint32_t upstream = 0; upstream < upstream_count; ++upstream)
        {
            auto const rated = domain.rating(upstream).relative_permille;
            cr_expect(upstream < 7 ? rated > 3'000 : rated < 1'500);
        }
    }
}
