#include <reducer/reducer.hpp>

#include <algorithm>
#include <criterion/criterion.h>

using namespace cairnhead;

// Symptom: after a loss of all VMs callers wait for a tenth of a second more
// than they need to. Sequence: a VM starts, and asks nobody until its first
// tick. Cause: what a start does first was left to the timer.
Test(reducer_start, peers_and_the_platform_are_asked_at_once)
{
    reducer_settings settings;
    settings.self = {vm_id(0x0a010001), failure_domain_id(1)};
    settings.memory = flow_memory::tags;
    settings.seeds = {vm_id(0x0a010002)};
    reducer decides(settings);
    effect_list effects;
    decides.apply(
        {time_point(std::chrono::hours(1)), started{1'000'000}}, effects);
    auto const is_watch = [](effect const& each)
    {
        return std::holds_alternative<watch_platform>(each);
    };
    auto const is_question = [](effect const& each)
    {
        auto const* const sent = std::get_if<send_control>(&each);
        return sent != nullptr && sent->target == vm_id(0x0a010002);
    };
    cr_expect_eq(std::ranges::count_if(effects, is_watch), 1);
    cr_expect_geq(std::ranges::count_if(effects, is_question), 1);
}
