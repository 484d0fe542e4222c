#include <emulator/hard_load.hpp>

#include <cmath>

namespace cairnhead::emulator
{

namespace
{

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

/// VMs start and learn the registry.
constexpr duration start_time = 10s;
/// Usual load, so that callers of long flows have one.
constexpr duration usual_time = 10s;
constexpr duration pattern_time = 5s;
/// Callers give each request up by then.
constexpr duration last_answer_time = 8s;

constexpr std::uint32_t slow_factor = 5;
constexpr std::uint32_t queue_bound = 8;

/// The second deployment's large pool, for which its rates hold.
constexpr double upstreams_of_rates = 120;

/// What a caller on a long flow sends in a minute, about once in three
/// seconds.
constexpr std::uint32_t requests_per_long_flow = 10;

request_load make_load(
    load_pattern const& pattern,
    placement_method const& method,
    load_size const& size)
{
    double const scale = size.upstreams[0] / upstreams_of_rates;
    request_load load;
    load.routes = {
        {.route = 0,
         .requests_per_second = 1'154 * scale,
         .requests_per_flow = requests_per_long_flow,
         .work = 47ms,
         .answer_length = 2'000,
         .target = 500ms,
         .is_repeatable = true},
        {.route = 1,
         .requests_per_second = 330 * scale,
         .work = 61ms,
         .answer_length = 300,
         .target = 600ms},
        {.route = 2,
         .requests_per_second = 98.9 * scale,
         .work = 4'200us,
         .answer_length = 200,
         .target = 1'200ms,
         .is_repeatable = true}};
    load.domain_weights.assign(
        pattern.domain_weights.begin(), pattern.domain_weights.end());
    load.placer = method.placer;
    return load;
}

topology make_topology(placement_method const& method, load_size const& size)
{
    topology shape;
    shape.vms = size.vms;
    shape.upstreams = size.upstreams[0] + size.upstreams[1];
    shape.failure_domains = load_domains;
    shape.regions = 1;
    shape.delay_between_domains = 1'400us;
    shape.pool_sizes = {size.upstreams[0], size.upstreams[1]};
    shape.services = {
        {0, true, 500ms, 2}, {0, false, 600ms, 1}, {1, true, 1'200ms, 2}};
    shape.placement = method.rule;
    return shape;
}

traffic_shape make_traffic(request_load load)
{
    traffic_shape shape;
    shape.upstreams = {
        .queue_bound = queue_bound,
        // Nothing is lost, and last packets wait for the next request.
        .repeats_answers = false};
    shape.opening_patience = 1'400ms;
    shape.fabric.extra_between_domains = 1'200us;
    shape.load = std::move(load);
    return shape;
}

} // namespace

std::string_view to_text(load_route route)
{
    switch (route)
    {
    case load_route::feed:
        return "feed";
    case load_route::once:
        return "once";
    case load_route::upload:
        return "upload";
    }
    return "unknown";
}

std::vector<load_pattern> const& load_patterns()
{
    static std::vector<load_pattern> const patterns{
        {.name = "once_burst_quarter_slow",
         .factors = {1, 4.9, 1},
         .slow = 0.25},
        {.name = "burst_third_slow",
         .factors = {2.6, 2.6, 2.6},
         .slow = 1. / 3},
        {.name = "burst_many_dead", .factors = {1.8, 1.8, 1.8}, .dead = 0.38},
        {.name = "tenth_failing", .failing = 0.1},
        // At the usual rates all domains have room. With these the busiest one
        // lacks some: 86 busy slots of 80. The fleet does not: 193 of 240.
        {.name = "uneven_domains",
         .factors = {2.6, 2.6, 2.6},
         .domain_weights = {1.6, 1, 1}}};
    return patterns;
}

load_result play_load(
    load_pattern const& pattern,
    placement_method const& method,
    load_size const& size,
    std::uint64_t seed)
{
    emulated_fleet fleet(make_topology(method, size), seed);
    fleet.start_all();
    fleet.run_for(start_time);
    emulated_traffic traffic(
        fleet, make_traffic(make_load(pattern, method, size)), seed);
    traffic.begin();
    fleet.run_for(usual_time);

    auto& upstreams = traffic.upstreams();
    auto const pick = [&](double share)
    {
        return upstreams.pick_serving(static_cast<std::uint32_t>(
            std::lround(share * (size.upstreams[0] + size.upstreams[1]))));
    };
    for (std::size_t route = 0; route < load_routes; ++route)
        traffic.arrivals().set_factor(route, pattern.factors[route]);
    if (pattern.slow > 0)
        upstreams.slow_down(pick(pattern.slow), slow_factor, pattern_time);
    if (pattern.dead > 0)
        upstreams.kill(pick(pattern.dead), upstream_life::silent, pattern_time);
    if (pattern.failing > 0)
        upstreams.fail(pick(pattern.failing), pattern_time);
    traffic.tally().count_within(fleet.now(), fleet.now() + pattern_time);
    fleet.run_for(pattern_time);
    traffic.arrivals().end();
    fleet.run_for(last_answer_time);
    return {
        traffic.tally().outcomes(),
        traffic.meter().violations_of(traffic_violation::run_twice)};
}

} // namespace cairnhead::emulator
