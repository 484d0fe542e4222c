#include <tagging/priority_admission.hpp>

#include <criterion/criterion.h>
#include <map>

using namespace cairnhead;
using namespace std::chrono_literals;

namespace
{

constexpr time_point start{1h};
constexpr std::uint8_t urgent = 1;
constexpr std::uint8_t less_urgent = 2;

/// An admission that has seen this many openings of each priority lately.
priority_admission make_admission(std::map<std::uint8_t, int> const& openings)
{
    priority_admission admission;
    for (auto const& [priority, count] : openings)
    {
        for (int opening = 0; opening < count; ++opening)
            admission.record_opening(start, priority);
    }
    return admission;
}

void expect_share(double found, double expected)
{
    cr_expect_float_eq(found, expected, 1e-6, "%f, not %f", found, expected);
}

} // namespace

// Symptom: requests that must run once are lost in a burst, while less urgent
// ones are served. Cause: both are refused at the same share.
Test(priority_admission, the_least_urgent_openings_are_refused_first)
{
    auto const even = make_admission({{urgent, 50}, {less_urgent, 50}});
    expect_share(even.refusal_share(start, less_urgent, 0.3), 0.6);
    expect_share(even.refusal_share(start, urgent, 0.3), 0.0);
    // The less urgent ones keep a tenth, and the urgent ones bear the rest.
    expect_share(even.refusal_share(start, less_urgent, 0.6), 0.9);
    expect_share(even.refusal_share(start, urgent, 0.6), 0.3);
}

// Symptom: queues grow longer in a burst than without priorities. Cause: what
// the less urgent routes cannot yield is not refused at all. Also guards
// against urgent openings that are refused at a higher share.
Test(priority_admission, the_share_of_the_whole_load_stays_as_it_is)
{
    std::map<std::uint8_t, int> const mixes[] = {
        {{0, 1}, {1, 70}, {2, 9}},
        {{0, 30}, {1, 1}, {200, 1}},
        {{1, 488}, {2, 50}},
        {{2, 1}},
    };
    for (auto const& mix : mixes)
    {
        auto const admission = make_admission(mix);
        for (double share = 0; share <= 0.98; share += 0.02)
        {
            double refused = 0;
            double openings = 0;
            double less_urgent_share = 1;
            for (auto entry = mix.rbegin(); entry != mix.rend(); ++entry)
            {
                double const each =
                    admission.refusal_share(start, entry->first, share);
                cr_expect_geq(each, 0.0);
                cr_expect_leq(each, less_urgent_share + 1e-9);
                cr_expect_leq(each, std::max(share, 0.9) + 1e-9);
                less_urgent_share = each;
                refused += each * entry->second;
                openings += entry->second;
            }
            expect_share(refused / openings, share);
        }
    }
}

// Symptom: a route is refused by a mix of openings of a minute ago. Also
// guards against a priority that is refused less because none of its openings
// was seen.
Test(priority_admission, only_the_recent_mix_counts)
{
    auto admission = make_admission({{less_urgent, 100}});
    expect_share(admission.refusal_share(start, urgent, 0.4), 0.4);
    time_point const later = start + 60s;
    admission.record_opening(later, urgent);
    expect_share(admission.refusal_share(later, urgent, 0.4), 0.4);
}
