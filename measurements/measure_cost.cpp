#include "daemon_cost.hpp"
#include "declared_shape.hpp"
#include "driven_reducer.hpp"

#include <base/hash.hpp>
#include <ownership/ownership_table.hpp>
#include <placement/placement.hpp>

#include <benchmark/benchmark.h>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <malloc.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unistd.h>

/// What the reducer alone costs: packets, openings, pins, and how that grows
/// with members, upstreams, services and pins. Processor time is that of one
/// thread.

using namespace cairnhead;
using namespace cairnhead::measure;

namespace
{

// Between two packets; small, so that no pin is due for its copy to the other
// holder within a measurement.
constexpr duration packet_gap = std::chrono::nanoseconds(50);
constexpr std::size_t few_pins = 20'000;
constexpr std::size_t usual_pins = 100'000;
constexpr std::size_t flows_per_table = 50'000;
constexpr std::uint32_t full_table_pins = 450'000;
/// One organisation may fill 60 % of it, which has to be half a million.
constexpr std::uint32_t largest_table_pins = 900'000;
constexpr int headline_repetitions = 5;

// The users' target size.
constexpr std::size_t target_organisations = 40;
constexpr std::size_t target_services = 2'600;
constexpr std::size_t target_upstreams = 12'000;

using settings_type = driven_reducer::settings_type;

/// Whether the one effect is of the kind that the benchmark is to measure.
template <typename Expected>
bool is_only_effect(effect_list const& effects)
{
    return effects.size() == 1 &&
           std::holds_alternative<Expected>(effects.front());
}

/// Sends packets of established flows, round and round in an order in which
/// no two neighbours lie near each other in the table.
template <typename Expected>
void measure_packets(
    benchmark::State& state,
    driven_reducer& vm,
    flow_role role,
    std::size_t flow_count)
{
    std::vector<flow_id> flows = vm.make_flows(role, flow_count);
    for (flow_id const flow : flows)
        vm.establish(flow, role);
    std::ranges::sort(flows);
    std::size_t next = 0;
    std::uint64_t unexpected = 0;
    for (auto iteration : state)
    {
        static_cast<void>(iteration);
        packet_arrived const packet =
            driven_reducer::make_packet(flows[next], packet_phase::ongoing);
        effect_list const& effects = vm.receive(packet);
        unexpected += is_only_effect<Expected>(effects) ? 0 : 1;
        next = next + 1 == flows.size() ? 0 : next + 1;
        vm.advance(packet_gap);
    }
    state.SetItemsProcessed(state.iterations());
    state.counters["pins"] = static_cast<double>(vm.decides().pins().size());
    if (unexpected != 0)
        state.SkipWithError("a packet took another path");
}

void established_owner(benchmark::State& state)
{
    driven_reducer vm({});
    measure_packets<send_to_upstream>(state, vm, flow_role::owner, usual_pins);
}

void established_backup(benchmark::State& state)
{
    driven_reducer vm({});
    measure_packets<send_to_upstream>(state, vm, flow_role::backup, usual_pins);
}

void established_ingress(benchmark::State& state)
{
    driven_reducer vm({});
    measure_packets<send_to_peer>(state, vm, flow_role::ingress, usual_pins);
}

void packets_by_members(benchmark::State& state)
{
    settings_type settings;
    settings.members = static_cast<std::size_t>(state.range(0));
    driven_reducer vm(settings);
    measure_packets<send_to_upstream>(state, vm, flow_role::owner, few_pins);
}

void packets_by_pins(benchmark::State& state)
{
    settings_type settings;
    settings.maximum_pins = largest_table_pins;
    driven_reducer vm(settings);
    auto const pins = static_cast<std::size_t>(state.range(0));
    measure_packets<send_to_upstream>(state, vm, flow_role::owner, pins);
}

/// One whole opening at the owner: place, confirm, close. Tables are new
/// after every `flows_per_table`, so that no flow is opened twice.
void measure_openings(benchmark::State& state, settings_type const& settings)
{
    auto vm = std::make_unique<driven_reducer>(settings);
    std::vector<flow_id> const flows =
        vm->make_flows(flow_role::owner, flows_per_table);
    std::size_t next = 0;
    std::uint64_t unexpected = 0;
    for (auto iteration : state)
    {
        static_cast<void>(iteration);
        if (next == flows.size())
        {
            state.PauseTiming();
            vm = std::make_unique<driven_reducer>(settings);
            next = 0;
            state.ResumeTiming();
        }
        flow_id const flow = flows[next++];
        effect_list const& effects = vm->receive(
            driven_reducer::make_packet(flow, packet_phase::opening));
        unexpected += is_only_effect<send_to_peer>(effects) ? 0 : 1;
        vm->advance(packet_gap);
        vm->receive(driven_reducer::make_packet(flow, packet_phase::ongoing));
        vm->receive(driven_reducer::make_packet(flow, packet_phase::closing));
    }
    state.SetItemsProcessed(state.iterations());
    if (unexpected != 0)
        state.SkipWithError("an opening took another path");
}

void openings_balance(benchmark::State& state)
{
    measure_openings(state, {});
}

void openings_continuity(benchmark::State& state)
{
    settings_type settings;
    settings.declared.prefer = "continuity";
    measure_openings(state, settings);
}

/// All upstreams belong to one service.
void openings_by_upstreams_of_service(benchmark::State& state)
{
    settings_type settings;
    settings.declared.upstreams = static_cast<std::size_t>(state.range(0));
    measure_openings(state, settings);
}

/// What an opening costs its backup: storing the pin that rides along.
void openings_backup(benchmark::State& state)
{
    settings_type const settings;
    auto vm = std::make_unique<driven_reducer>(settings);
    std::vector<flow_id> const flows =
        vm->make_flows(flow_role::backup, flows_per_table);
    std::size_t next = 0;
    for (auto iteration : state)
    {
        static_cast<void>(iteration);
        if (next == flows.size())
        {
            state.PauseTiming();
            vm = std::make_unique<driven_reducer>(settings);
            next = 0;
            state.ResumeTiming();
        }
        vm->establish(flows[next++], flow_role::backup);
    }
    state.SetItemsProcessed(state.iterations());
}

/// Pins that expire, with the ticks that sweep the table.
void sweep_expired(benchmark::State& state)
{
    for (auto iteration : state)
    {
        static_cast<void>(iteration);
        state.PauseTiming();
        driven_reducer vm({});
        for (flow_id const flow :
             vm.make_flows(flow_role::owner, flows_per_table))
        {
            vm.establish(flow, flow_role::owner);
            vm.receive(
                driven_reducer::make_packet(flow, packet_phase::closing));
        }
        vm.advance(pin_settings().closing_lifetime);
        state.ResumeTiming();
        vm.run_for(2 * pin_settings().sweep_period);
        if (vm.decides().pins().size() != 0)
            state.SkipWithError("not all pins expired");
    }
    state.SetItemsProcessed(
        state.iterations() * static_cast<std::int64_t>(flows_per_table));
}

/// A tick with that many pins; ten of them come each second.
void tick_by_pins(benchmark::State& state)
{
    settings_type settings;
    settings.maximum_pins = largest_table_pins;
    driven_reducer vm(settings);
    auto const pins = static_cast<std::size_t>(state.range(0));
    for (flow_id const flow : vm.make_flows(flow_role::owner, pins))
        vm.establish(flow, flow_role::owner);
    for (auto iteration : state)
    {
        static_cast<void>(iteration);
        vm.advance(tick_period);
        vm.apply(tick{});
    }
}

void tick_by_members(benchmark::State& state)
{
    settings_type settings;
    settings.members = static_cast<std::size_t>(state.range(0));
    driven_reducer vm(settings);
    for (auto iteration : state)
    {
        static_cast<void>(iteration);
        vm.run_for(tick_period);
    }
}

std::vector<ownership_candidate> make_candidates(std::size_t count)
{
    constexpr std::uint32_t first_id = 10U << 24 | 1;
    std::vector<ownership_candidate> made;
    for (std::size_t position = 0; position < count; ++position)
    {
        made.push_back(
            {vm_id(first_id + static_cast<std::uint32_t>(position)),
             make_failure_domain_id(domain_name(position)), 1});
    }
    return made;
}

enum class member_change : std::uint8_t
{
    join,
    death,
};

/// One VM comes and goes; only one of the two is timed.
void measure_ownership(benchmark::State& state, member_change timed)
{
    auto const with =
        make_candidates(static_cast<std::size_t>(state.range(0)) + 1);
    std::span<ownership_candidate const> const all(with);
    auto const without = all.first(all.size() - 1);
    ownership_table table{ownership_settings()};
    time_point now(1'000s);
    table.set_candidates(now, timed == member_change::join ? without : all);
    for (auto iteration : state)
    {
        static_cast<void>(iteration);
        now += 1s;
        table.set_candidates(now, timed == member_change::join ? all : without);
        state.PauseTiming();
        now += 1s;
        table.set_candidates(now, timed == member_change::join ? without : all);
        state.ResumeTiming();
    }
}

void ownership_join(benchmark::State& state)
{
    measure_ownership(state, member_change::join);
}

void ownership_death(benchmark::State& state)
{
    measure_ownership(state, member_change::death);
}

/// As many services as the upstreams have at the target size, and today's two
/// at the least.
declared_shape shape_for_upstreams(std::size_t upstreams)
{
    declared_shape shape;
    shape.upstreams = upstreams;
    shape.services = std::max<std::size_t>(
        2, upstreams * target_services / target_upstreams);
    shape.organisations = std::max<std::size_t>(
        1, upstreams * target_organisations / target_upstreams);
    return shape;
}

declared_shape shape_for_services(std::size_t services)
{
    declared_shape shape;
    shape.services = services;
    shape.upstreams =
        std::max(services, services * target_upstreams / target_services);
    shape.organisations = std::max<std::size_t>(
        1, services * target_organisations / target_services);
    return shape;
}

std::shared_ptr<directory const> make_directory(declared_shape const& shape)
{
    return std::make_shared<directory const>(
        read_documents(write_documents(shape)));
}

placement make_placement()
{
    placement made({}, {vm_id(1), make_failure_domain_id(domain_name(0))}, 1);
    made.set_fleet(
        8,
        [](failure_domain_id)
        {
            return true;
        });
    return made;
}

void placement_refresh(benchmark::State& state)
{
    placement placer = make_placement();
    time_point now(1'000s);
    placer.set_directory(
        now, make_directory(shape_for_upstreams(
                 static_cast<std::size_t>(state.range(0)))));
    effect_list effects;
    std::vector<vm_id> const self{vm_id(1)};
    for (auto iteration : state)
    {
        static_cast<void>(iteration);
        effects.clear();
        now += tick_period;
        placer.tick(now, self, {}, effects);
    }
}

void placement_set_directory(benchmark::State& state)
{
    placement placer = make_placement();
    time_point now(1'000s);
    declared_shape const shape =
        shape_for_upstreams(static_cast<std::size_t>(state.range(0)));
    std::shared_ptr<directory const> const versions[] = {
        make_directory(shape), make_directory(shape)};
    std::size_t next = 0;
    for (auto iteration : state)
    {
        static_cast<void>(iteration);
        now += 1s;
        placer.set_directory(now, versions[next++ % 2]);
    }
}

void read_all_documents(benchmark::State& state)
{
    auto const documents = write_documents(
        shape_for_services(static_cast<std::size_t>(state.range(0))));
    std::size_t bytes = 0;
    for (named_document const& document : documents)
        bytes += document.text.size();
    for (auto iteration : state)
    {
        static_cast<void>(iteration);
        benchmark::DoNotOptimize(read_documents(documents));
    }
    state.counters["text_bytes"] = static_cast<double>(bytes);
    state.counters["documents"] = static_cast<double>(documents.size());
}

/// One organisation's document changes; all others stay.
void apply_one_change(benchmark::State& state)
{
    settings_type settings;
    settings.declared =
        shape_for_services(static_cast<std::size_t>(state.range(0)));
    driven_reducer vm(settings);
    named_document const changing = vm.documents().back();
    std::uint64_t version = 1;
    std::uint64_t const before = vm.decides().documents().generation();
    for (auto iteration : state)
    {
        static_cast<void>(iteration);
        ++version;
        vm.apply(document_fetched{
            vm.member_at(1), changing.name, document_version(version),
            changing.text + "# " + std::to_string(version) + "\n"});
    }
    std::uint64_t const applied =
        vm.decides().documents().generation() - before;
    if (applied != static_cast<std::uint64_t>(state.iterations()))
        state.SkipWithError("not every change came into force");
    state.counters["text_bytes"] = static_cast<double>(changing.text.size());
}

void repeat(benchmark::internal::Benchmark* headline)
{
    headline->Repetitions(headline_repetitions);
}

void use_member_counts(benchmark::internal::Benchmark* growth)
{
    growth->Unit(benchmark::kMicrosecond)
        ->ArgName("members")
        ->ArgsProduct({{8, 64, 512, 2'200}});
}

void use_upstream_counts(benchmark::internal::Benchmark* growth)
{
    growth->Unit(benchmark::kMicrosecond)
        ->ArgName("upstreams")
        ->ArgsProduct({{18, 200, 2'000, 12'000}});
}

void use_service_counts(benchmark::internal::Benchmark* growth)
{
    growth->Unit(benchmark::kMicrosecond)
        ->ArgName("services")
        ->ArgsProduct({{2, 26, 260, 2'600}});
}

void use_pin_counts(benchmark::internal::Benchmark* growth)
{
    growth->ArgName("pins")->ArgsProduct({{1'000, 20'000, 100'000, 500'000}});
}

BENCHMARK(established_owner)->Apply(repeat);
BENCHMARK(established_backup)->Apply(repeat);
BENCHMARK(established_ingress)->Apply(repeat);
BENCHMARK(openings_balance)->Apply(repeat);
BENCHMARK(openings_continuity);
BENCHMARK(openings_by_upstreams_of_service)->ArgsProduct({{4, 14, 100, 1'000}});
BENCHMARK(openings_backup);
BENCHMARK(sweep_expired)->Unit(benchmark::kMillisecond)->Iterations(5);
BENCHMARK(packets_by_members)->Apply(use_member_counts);
BENCHMARK(tick_by_members)->Apply(use_member_counts);
BENCHMARK(ownership_join)->Apply(use_member_counts);
BENCHMARK(ownership_death)->Apply(use_member_counts);
BENCHMARK(placement_refresh)->Apply(use_upstream_counts);
BENCHMARK(placement_set_directory)->Apply(use_upstream_counts);
BENCHMARK(read_all_documents)->Apply(use_service_counts);
BENCHMARK(apply_one_change)->Apply(use_service_counts);
BENCHMARK(packets_by_pins)->Apply(use_pin_counts);
BENCHMARK(tick_by_pins)->Apply(use_pin_counts);

/// Prints as usual, and keeps the rates of the headline benchmarks.
class rate_reporter : public benchmark::ConsoleReporter
{
public:
    /// Without colours, as the output is kept in files.
    rate_reporter() : benchmark::ConsoleReporter(OO_Tabular)
    {
    }

    void ReportRuns(std::vector<Run> const& reports) override
    {
        for (Run const& run : reports)
        {
            auto const found = run.counters.find("items_per_second");
            if (run.error_occurred || found == run.counters.end())
                continue;
            this->rates[run.benchmark_name()] = found->second;
        }
        ConsoleReporter::ReportRuns(reports);
    }

    /// The median of a benchmark's repetitions; zero if it did not run.
    [[nodiscard]] double median(std::string const& name) const
    {
        auto const found = this->rates.find(
            name + "/repeats:" + std::to_string(headline_repetitions) +
            "_median");
        return found == this->rates.end() ? 0.0 : found->second;
    }

private:
    std::map<std::string, double> rates;
};

std::size_t resident_bytes()
{
    std::size_t total_pages = 0;
    std::size_t resident_pages = 0;
    std::ifstream("/proc/self/statm") >> total_pages >> resident_pages;
    return resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::size_t heap_bytes()
{
    struct mallinfo2 const used = ::mallinfo2();
    return used.uordblks + used.hblkhd;
}

double per_item(std::size_t before, std::size_t after, std::size_t items)
{
    return (static_cast<double>(after) - static_cast<double>(before)) /
           static_cast<double>(items);
}

/// Bytes of each pin of a full table.
double measure_pin_memory()
{
    settings_type settings;
    settings.maximum_pins = full_table_pins;
    driven_reducer vm(settings);
    std::vector<flow_id> const flows =
        vm.make_flows(flow_role::owner, full_table_pins);
    // A single organisation may not fill the table by openings, so most pins
    // come as a backup's do.
    std::size_t const before = resident_bytes();
    for (flow_id const flow : flows)
        vm.establish(flow, flow_role::backup);
    std::size_t const after = resident_bytes();
    pin_table const& pins = vm.decides().pins();
    double const bytes = static_cast<double>(pins.memory_bytes()) /
                         static_cast<double>(pins.size());
    std::cout << "memory=pins pins=" << pins.size()
              << " is_full=" << pins.is_full()
              << " table_bytes_per_pin=" << bytes << " resident_bytes_per_pin="
              << per_item(before, after, pins.size()) << "\n";
    return bytes;
}

void measure_memory(std::string const& name, settings_type const& settings)
{
    std::size_t const before = heap_bytes();
    driven_reducer const vm(settings);
    std::size_t texts = 0;
    for (named_document const& document : vm.documents())
        texts += document.text.size();
    // One copy of the texts is the measurement's own.
    std::cout << "memory=" << name << " members=" << settings.members
              << " organisations=" << settings.declared.organisations
              << " services=" << settings.declared.services
              << " upstreams=" << settings.declared.upstreams
              << " heap_bytes=" << heap_bytes() - before - texts
              << " of_which_reserved_for_pins="
              << vm.decides().pins().memory_bytes()
              << " of_which_texts=" << texts << "\n";
}

void measure_memory_growth()
{
    for (std::size_t const members : {8, 64, 512, 2'200})
    {
        settings_type settings;
        settings.members = members;
        measure_memory("members", settings);
    }
    for (std::size_t const services : {2, 26, 260, 2'600})
    {
        settings_type settings;
        settings.declared = shape_for_services(services);
        measure_memory("services", settings);
    }
}

void print_configuration()
{
    settings_type const usual;
    std::cout << "configuration members=" << usual.members
              << " upstreams=" << usual.declared.upstreams
              << " services=" << usual.declared.services
              << " prefer=" << usual.declared.prefer << " pins=" << usual_pins
              << " full_table=" << full_table_pins
              << " flows_per_opening_table=" << flows_per_table
              << " repetitions=" << headline_repetitions
              << " (headlines: median, by processor time of one thread)\n";
}

} // namespace

int main(int argument_count, char** arguments)
{
    benchmark::Initialize(&argument_count, arguments);
    std::cout << std::fixed << std::setprecision(1);
    print_configuration();
    double const bytes_per_pin = measure_pin_memory();
    measure_memory_growth();
    std::cout << std::flush;
    rate_reporter reporter;
    benchmark::RunSpecifiedBenchmarks(&reporter);
    benchmark::Shutdown();
    double const daemon_rate = measure_daemon();
    std::cout << "packets_per_s=" << reporter.median("established_owner")
              << " openings_per_s=" << reporter.median("openings_balance")
              << " bytes_per_pin=" << bytes_per_pin
              << " daemon_packets_per_s=" << daemon_rate << "\n";
}
