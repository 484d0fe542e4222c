// What becomes of requests while the load exceeds the capacity of the
// upstreams or is spread unevenly over them, for each way of placing flows and
// for placers that know each upstream's queue and each request's work. All see
// the same requests.

#include <emulator/hard_load.hpp>

#include <array>
#include <cstdio>
#include <string>
#include <utility>

namespace
{

using namespace cairnhead;
using namespace cairnhead::emulator;

constexpr std::array<placement_method, 4> methods{{
    {"flows", placement_rule::flows, request_placer::vms},
    {"answer_times", placement_rule::answer_times, request_placer::vms},
    // Places each request, also those that VMs have to leave on open flows.
    {"bound", placement_rule::flows, request_placer::knows_all},
    // The same knowledge, where open flows stay on their upstreams.
    {"bound_of_openings", placement_rule::flows,
     request_placer::knows_all_at_openings},
}};

/// Each pattern is played with as many, and their requests are added up.
constexpr std::uint64_t seeds = 3;

double share_of(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0
                      : static_cast<double>(part) / static_cast<double>(whole);
}

void add(load_outcome& sum, load_outcome const& part)
{
    sum.arrived += part.arrived;
    sum.in_time += part.in_time;
    sum.late += part.late;
    sum.refused += part.refused;
    sum.failed += part.failed;
    sum.full_queues += part.full_queues;
    sum.errors += part.errors;
}

load_result
play_seeds(load_pattern const& pattern, placement_method const& method)
{
    load_result sum;
    sum.by_route.resize(load_routes);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        auto const played = play_load(pattern, method, {}, seed);
        for (std::size_t route = 0; route < load_routes; ++route)
            add(sum.by_route[route], played.by_route[route]);
        sum.run_twice += played.run_twice;
    }
    return sum;
}

void print_row(
    std::string_view pattern,
    std::string_view method,
    std::string_view route,
    load_outcome const& seen)
{
    std::printf(
        "%-24s %-18s %-7s %8lu %8.3f %8.3f %8.3f %8.3f %8lu %8lu\n",
        pattern.data(), method.data(), route.data(), seen.arrived,
        share_of(seen.in_time, seen.arrived), share_of(seen.late, seen.arrived),
        share_of(seen.refused, seen.arrived),
        share_of(seen.failed, seen.arrived), seen.full_queues, seen.errors);
}

} // namespace

int main()
{
    std::printf(
        "%-24s %-18s %-7s %8s %8s %8s %8s %8s %8s %8s\n", "pattern", "method",
        "route", "requests", "in_time", "late", "refused", "failed", "full",
        "errors");
    std::string totals;
    std::uint64_t run_twice = 0;
    for (load_pattern const& pattern : load_patterns())
    {
        for (placement_method const& method : methods)
        {
            auto const result = play_seeds(pattern, method);
            load_outcome all;
            for (std::size_t route = 0; route < load_routes; ++route)
            {
                load_outcome const& seen = result.by_route[route];
                print_row(
                    pattern.name, method.name,
                    to_text(static_cast<load_route>(route)), seen);
                add(all, seen);
            }
            print_row(pattern.name, method.name, "all", all);
            std::fflush(stdout);
            run_twice += result.run_twice;
            std::array<char, 96> text{};
            std::snprintf(
                text.data(), text.size(), "%s_%s=%.3f ", pattern.name.data(),
                method.name.data(), share_of(all.in_time, all.arrived));
            totals += text.data();
        }
    }
    std::printf("%srun_twice=%lu\n", totals.c_str(), run_twice);
    return 0;
}
