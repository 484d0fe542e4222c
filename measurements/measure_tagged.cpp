#include <base/hash.hpp>
#include <tagging/tag_router.hpp>

#include <benchmark/benchmark.h>

#include <algorithm>
#include <iostream>
#include <malloc.h>
#include <map>
#include <memory>
#include <vector>

/// What flows whose packets carry tags cost one VM: packets, openings, what a
/// flow and a listing take, and how that grows with the upstreams. Processor
/// time is that of one thread.

using namespace cairnhead;

namespace
{

constexpr std::size_t usual_flows = 12'000;
constexpr std::size_t usual_upstreams = 18;
constexpr std::size_t target_upstreams = 12'000;
constexpr std::size_t target_routes = 2'600;
constexpr std::size_t upstreams_per_pool = 150;
constexpr std::size_t failure_domains = 7;
constexpr std::uint64_t seed = 20261202;
constexpr auto packet_gap = std::chrono::microseconds(1);

std::string name_pool(std::size_t number)
{
    return "pool-" + std::to_string(number);
}

std::size_t count_pools(std::size_t upstreams)
{
    return (upstreams + upstreams_per_pool - 1) / upstreams_per_pool;
}

upstream_listing make_upstreams(std::size_t count)
{
    upstream_listing listing;
    for (std::size_t index = 0; index < count; ++index)
    {
        listing.upstreams.push_back(
            {.instance = instance_number(index + 1),
             .address = ipv4_address(0x0a000000 + static_cast<unsigned>(index)),
             .port = 8080,
             .is_draining = false,
             .slots = 2,
             .cold_milliseconds = 0,
             .pool = name_pool(index % count_pools(count)),
             .failure_domain =
                 "domain-" + std::to_string(index % failure_domains)});
    }
    return listing;
}

route_listing make_routes(std::size_t routes, std::size_t pools)
{
    route_listing listing;
    for (std::size_t index = 0; index < routes; ++index)
    {
        listing.routes.push_back(
            {ipv4_address(0xc6120000 + static_cast<unsigned>(index)),
             443,
             flow_class::form,
             false,
             {{name_pool(index % pools), 1}}});
    }
    return listing;
}

/// A router that knows as many upstreams and routes, and passes flows.
class loaded_router
{
public:
    loaded_router(std::size_t upstreams, std::size_t routes)
        : route_count(routes)
    {
        this->router.set_listings(
            this->now, {std::make_shared<route_listing const>(
                            make_routes(routes, count_pools(upstreams))),
                        std::make_shared<upstream_listing const>(
                            make_upstreams(upstreams)),
                        std::make_shared<evacuation_listing const>()});
    }

    /// Opens a flow, and gives the tag that its packets carry.
    upstream_tag open(std::uint64_t flow)
    {
        this->pass(flow, packet_phase::opening, upstream_tag());
        for (effect const& item : this->effects)
        {
            if (auto const* const sent = std::get_if<send_tagged>(&item))
                return sent->tag;
        }
        return {};
    }

    void pass(std::uint64_t flow, packet_phase phase, upstream_tag tag)
    {
        this->now += packet_gap;
        packet_arrived packet;
        packet.flow = flow_id(hash_pair(flow, 1));
        packet.destination = {
            ipv4_address(
                0xc6120000 + static_cast<unsigned>(flow % this->route_count)),
            443, transport_protocol::tcp};
        packet.phase = phase;
        packet.tag = tag;
        packet.progress = {
            static_cast<std::uint32_t>(++this->packets), 1, true};
        this->effects.clear();
        this->router.route(this->now, packet, this->effects);
    }

    time_point now{std::chrono::hours(1)};

private:
    std::size_t route_count;
    tagging_settings settings;
    tag_router router{settings, make_failure_domain_id("domain-0"), seed};
    effect_list effects;
    std::uint64_t packets = 0;
};

void pass_established(benchmark::State& state)
{
    auto const upstreams = static_cast<std::size_t>(state.range(0));
    loaded_router vm(upstreams, upstreams == usual_upstreams ? 3 : 2'600);
    std::vector<upstream_tag> tags;
    for (std::size_t flow = 0; flow < usual_flows; ++flow)
        tags.push_back(vm.open(flow));
    std::size_t next = 0;
    for (auto _ : state)
    {
        vm.pass(next, packet_phase::ongoing, tags[next]);
        // A step that shares no factor with the count visits all in turn.
        next = (next + 7'919) % usual_flows;
    }
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(pass_established)->Arg(usual_upstreams)->Arg(target_upstreams);

void place_openings(benchmark::State& state)
{
    auto const upstreams = static_cast<std::size_t>(state.range(0));
    loaded_router vm(upstreams, upstreams == usual_upstreams ? 3 : 2'600);
    std::uint64_t flow = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(vm.open(++flow));
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(place_openings)->Arg(usual_upstreams)->Arg(target_upstreams);

/// A changed listing: read from its text, and taken in.
void take_listing(benchmark::State& state)
{
    auto const upstreams = static_cast<std::size_t>(state.range(0));
    std::string const text = encode_listing(make_upstreams(upstreams));
    tagging_settings const settings;
    tag_router router(settings, {}, seed);
    for (auto _ : state)
    {
        router.set_listings(
            time_point(),
            {.upstreams = std::make_shared<upstream_listing const>(
                 decode_upstreams(text))});
    }
    state.counters["text_bytes_per_upstream"] =
        static_cast<double>(text.size()) / static_cast<double>(upstreams);
}
BENCHMARK(take_listing)
    ->Arg(usual_upstreams)
    ->Arg(150)
    ->Arg(1'500)
    ->Arg(target_upstreams)
    ->Unit(benchmark::kMicrosecond);

std::size_t heap_bytes()
{
    return ::mallinfo2().uordblks + ::mallinfo2().hblkhd;
}

double measure_flow_bytes()
{
    loaded_router vm(usual_upstreams, 3);
    std::size_t const before = heap_bytes();
    for (std::size_t flow = 0; flow < usual_flows; ++flow)
        vm.pass(flow, packet_phase::ongoing, upstream_tag(1));
    return static_cast<double>(heap_bytes() - before) / usual_flows;
}

/// Keeps the figures for the last line.
class figure_reporter : public benchmark::ConsoleReporter
{
public:
    void ReportRuns(std::vector<Run> const& runs) override
    {
        for (Run const& run : runs)
            this->seconds[run.benchmark_name()] =
                run.cpu_accumulated_time / static_cast<double>(run.iterations);
        ConsoleReporter::ReportRuns(runs);
    }

    std::map<std::string, double> seconds;
};

} // namespace

int main(int argument_count, char** arguments)
{
    benchmark::Initialize(&argument_count, arguments);
    std::cout << "configuration flows=" << usual_flows
              << " upstreams=" << usual_upstreams << "," << target_upstreams
              << " routes=3," << target_routes << "\n";
    double const flow_bytes = measure_flow_bytes();
    figure_reporter reporter;
    benchmark::RunSpecifiedBenchmarks(&reporter);
    benchmark::Shutdown();
    std::cout << "tagged_packets_per_s="
              << 1.0 / reporter.seconds["pass_established/18"]
              << " tagged_openings_per_s="
              << 1.0 / reporter.seconds["place_openings/18"]
              << " target_openings_per_s="
              << 1.0 / reporter.seconds["place_openings/12000"]
              << " target_listing_ms="
              << 1e3 * reporter.seconds["take_listing/12000"]
              << " bytes_per_tagged_flow=" << flow_bytes << "\n";
}
