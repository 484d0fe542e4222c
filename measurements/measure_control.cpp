#include "control_meter.hpp"
#include "slope.hpp"

#include <support/fleet.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

/// What control costs each VM, and how long a publication takes until it is
/// in force everywhere. Reducers are driven by injected time; bytes are those
/// of the real encoding, and processor time is measured around each event.

using namespace cairnhead;
using namespace cairnhead::measure;
using namespace cairnhead::test;

namespace
{

std::vector<std::string> const domains = {
    "stirling", "perth", "falkirk", "lanark"};

/// The size whose figures are the last line's.
constexpr std::size_t reference_vms = 8;
constexpr std::size_t vm_counts[] = {4, 8, 16, 32, 64, 256};
/// Beyond this only the cheaper cases run.
constexpr std::size_t maximum_full_vms = 64;

constexpr std::size_t flows_per_vm = 250;
constexpr std::size_t upstream_count = 14;
constexpr std::uint16_t health_port = 8081;
constexpr std::uint32_t lossy_permille = 20;

constexpr duration settle_length = 30s;
constexpr duration idle_length = 60s;
constexpr duration change_length = 60s;
constexpr duration change_period = 1s;
constexpr duration death_period = 1min;
constexpr std::size_t death_count = 3;
/// The platform puts a new VM in a dead one's place after this.
constexpr duration replacement_delay = 20s;

constexpr std::size_t publication_count = 30;
constexpr std::size_t few_publications = 10;
/// Long enough for a publication to be in force, or for a suspect to die.
constexpr duration publication_wait = 8s;
/// Publications fall at any moment of the VMs' periods.
constexpr std::uint64_t publication_jitter_milliseconds = 3'000;

constexpr std::size_t outage_count = 10;
constexpr duration outage_length = 5min;
/// Beyond the longest back-off.
constexpr duration outage_wait = 1min;

/// Enough that copying pins after a death uses all its allowance.
constexpr std::size_t many_flows = 40'000;

// The users' budgets for each VM.
constexpr double budget_bytes_per_second = 12'000.0;
constexpr double budget_percent = 3.7;
constexpr double budget_in_force_milliseconds = 7'000.0;

char const* const kind_names[control_totals::kind_count] = {
    "ping",          "ping_answer", "ping_request",    "member_listing",
    "document_list", "pin_batch",   "upstream_report", "registry_change"};

constexpr int figure_digits = 3;
constexpr int slope_digits = 6;

double to_seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

double to_milliseconds(duration length)
{
    return to_seconds(length) * 1'000.0;
}

/// How a measured fleet is made.
struct bench_settings
{
    std::size_t vms = reference_vms;
    std::size_t upstreams = upstream_count;
    std::size_t organisations = 1;
    std::size_t flows = reference_vms * flows_per_vm;
    std::uint32_t lost_permille = 0;
};

/// A fleet with a meter around its reducers.
class control_bench
{
public:
    explicit control_bench(bench_settings const& chosen)
        : settings(chosen), random(chosen.vms)
    {
        this->declared = this->make_declarations();
        fleet_settings made = sample_fleet(chosen.vms, domains, this->declared);
        made.lost_control_permille = chosen.lost_permille;
        made.apply_event = [this](
                               vm_id vm, reducer& decides, event const& event,
                               effect_list& effects)
        {
            this->meter.apply(vm, decides, event, effects);
        };
        this->vms = made.vms;
        this->running = std::make_unique<fleet>(std::move(made));
    }

    void start()
    {
        this->running->start();
        for (std::size_t opened = 0; opened < this->settings.flows; ++opened)
        {
            this->running->open(this->declared.front().address());
            this->running->run_for(std::chrono::microseconds(500));
        }
        this->running->run_for(settle_length);
        if (this->running->counts().established < this->settings.flows)
            throw std::logic_error("not all flows were established");
    }

    /// Publishes the next version of the watched document.
    void publish(std::set<vm_id> const& excluded = {})
    {
        sample_declarations changed = this->declared.front();
        changed.draining = {this->version % this->settings.upstreams};
        ++this->version;
        std::set<vm_id> waited_for;
        for (fleet_vm const& vm : this->vms)
        {
            if (this->running->is_up(vm.id) && !excluded.contains(vm.id))
                waited_for.insert(vm.id);
        }
        this->meter.note_publication(
            this->running->now(), document_version(this->version), waited_for);
        this->running->publish(
            std::string(watched_document), changed.organisation_text());
    }

    void kill(fleet_vm const& vm)
    {
        this->running->kill(vm.id);
        this->meter.forget(vm.id);
    }

    [[nodiscard]] fleet_vm const& vm_at(std::size_t position) const
    {
        return this->vms[position % this->vms.size()];
    }

    [[nodiscard]] duration random_wait()
    {
        return std::chrono::milliseconds(
            this->random() % publication_jitter_milliseconds);
    }

    [[nodiscard]] fleet& fleet_under_test()
    {
        return *this->running;
    }

    [[nodiscard]] control_meter& measured()
    {
        return this->meter;
    }

    [[nodiscard]] bench_settings const& made_with() const
    {
        return this->settings;
    }

    [[nodiscard]] std::size_t document_bytes() const
    {
        return this->declared.front().organisation_text().size();
    }

private:
    [[nodiscard]] std::vector<sample_declarations> make_declarations() const
    {
        std::vector<sample_declarations> made;
        for (std::size_t number = 0; number < this->settings.organisations;
             ++number)
        {
            sample_declarations item;
            item.domains = domains;
            item.upstreams = this->settings.upstreams;
            item.health_port = health_port;
            item.network += static_cast<std::uint32_t>(number);
            if (number > 0)
                item.organisation += "-" + std::to_string(number);
            made.push_back(item);
        }
        return made;
    }

    bench_settings settings;
    std::mt19937_64 random;
    std::vector<sample_declarations> declared;
    std::vector<fleet_vm> vms;
    control_meter meter;
    std::unique_ptr<fleet> running;
    std::uint64_t version = 1;
};

/// What one case cost, for each VM.
struct cost_figures
{
    double bytes_per_second = 0.0;
    double worst_vm_bytes_per_second = 0.0;
    double percent = 0.0;
};

void print_kinds(control_totals const& totals, double vm_seconds)
{
    for (std::size_t kind = 0; kind < control_totals::kind_count; ++kind)
    {
        auto const bytes = static_cast<double>(totals.bytes_by_kind[kind]);
        std::cout << " " << kind_names[kind] << "=" << bytes / vm_seconds;
    }
}

/// Prints what was counted over the length as one line.
cost_figures
print_cost(std::string const& name, control_bench& bench, duration length)
{
    control_totals const& totals = bench.measured().totals();
    double const seconds = to_seconds(length);
    double const vm_seconds =
        seconds * static_cast<double>(bench.made_with().vms);
    double sent = 0.0;
    double received = 0.0;
    double worst = 0.0;
    for (auto const& [vm, traffic] : totals.by_vm)
    {
        auto const out = static_cast<double>(traffic.sent_bytes);
        auto const in = static_cast<double>(traffic.received_bytes);
        sent += out;
        received += in;
        worst = std::max(worst, out + in);
    }
    double const reducer_percent =
        to_seconds(totals.reducer_time) / vm_seconds * 100.0;
    double const codec_percent =
        to_seconds(totals.codec_time) / vm_seconds * 100.0;
    cost_figures const figures{
        (sent + received) / vm_seconds, worst / seconds,
        reducer_percent + codec_percent};
    std::cout << "case=" << name << " vms=" << bench.made_with().vms
              << " upstreams=" << bench.made_with().upstreams
              << " organisations=" << bench.made_with().organisations
              << " flows=" << bench.made_with().flows
              << " document_bytes=" << bench.document_bytes()
              << " seconds=" << seconds
              << " bytes_per_s=" << figures.bytes_per_second
              << " sent_bytes_per_s=" << sent / vm_seconds
              << " received_bytes_per_s=" << received / vm_seconds
              << " worst_vm_bytes_per_s=" << figures.worst_vm_bytes_per_second
              << " platform_bytes_per_s="
              << static_cast<double>(totals.platform_bytes) / vm_seconds
              << " platform_answers_per_s_all_vms="
              << static_cast<double>(totals.platform_answers) / seconds
              << " peer_document_bytes_per_s="
              << static_cast<double>(totals.peer_document_bytes) / vm_seconds
              << " peer_fetches_per_s="
              << static_cast<double>(totals.peer_fetches) / vm_seconds
              << " datagrams_per_s="
              << static_cast<double>(totals.datagrams) / vm_seconds
              << " probes_per_s="
              << static_cast<double>(totals.upstream_probes) / vm_seconds
              << " reducer_percent=" << reducer_percent
              << " codec_percent=" << codec_percent << " sent_by_kind:";
    print_kinds(totals, vm_seconds);
    std::cout << std::endl;
    return figures;
}

cost_figures measure_idle(control_bench& bench)
{
    bench.measured().reset();
    bench.fleet_under_test().run_for(idle_length);
    return print_cost("idle", bench, idle_length);
}

/// Prints how long the publications took; gives the longest.
double print_in_force(std::string const& name, control_bench& bench)
{
    bench.fleet_under_test().run_for(publication_wait);
    std::vector<duration> latencies = bench.measured().latencies();
    std::size_t const unfinished = bench.measured().unfinished();
    bench.measured().clear_publications();
    std::ranges::sort(latencies);
    duration const worst = latencies.empty() ? duration() : latencies.back();
    duration const median =
        latencies.empty() ? duration() : latencies[latencies.size() / 2];
    std::cout << "case=" << name << " vms=" << bench.made_with().vms
              << " publications=" << latencies.size()
              << " not_in_force=" << unfinished
              << " in_force_median_ms=" << to_milliseconds(median)
              << " in_force_max_ms=" << to_milliseconds(worst) << std::endl;
    return to_milliseconds(worst);
}

struct change_figures
{
    cost_figures cost;
    double in_force_milliseconds = 0.0;
};

change_figures measure_changes(control_bench& bench)
{
    bench.measured().reset();
    for (duration passed{}; passed < change_length; passed += change_period)
    {
        bench.publish();
        bench.fleet_under_test().run_for(change_period);
    }
    cost_figures const cost =
        print_cost("change_each_second", bench, change_length);
    return {cost, print_in_force("in_force_change_each_second", bench)};
}

cost_figures measure_deaths(std::string const& name, control_bench& bench)
{
    bench.measured().reset();
    fleet& running = bench.fleet_under_test();
    for (std::size_t death = 0; death < death_count; ++death)
    {
        fleet_vm const& dying = bench.vm_at(death * 3 + 1);
        bench.kill(dying);
        running.run_for(replacement_delay);
        running.add(dying);
        running.run_for(death_period - replacement_delay);
    }
    return print_cost(name, bench, death_period * death_count);
}

double measure_quiet_publications(
    std::string const& name,
    control_bench& bench,
    std::size_t count = publication_count)
{
    for (std::size_t number = 0; number < count; ++number)
    {
        bench.fleet_under_test().run_for(bench.random_wait());
        bench.publish();
        bench.fleet_under_test().run_for(publication_wait);
    }
    return print_in_force(name, bench);
}

/// One VM stops at most a few seconds before the publication, so that the
/// others still take it for alive or for a suspect. All but it must have the
/// publication.
double measure_with_pause(control_bench& bench)
{
    fleet& running = bench.fleet_under_test();
    for (std::size_t number = 0; number < publication_count; ++number)
    {
        vm_id const paused = bench.vm_at(number).id;
        running.pause(paused);
        running.run_for(bench.random_wait());
        bench.publish({paused});
        running.run_for(publication_wait);
        running.resume(paused);
        running.run_for(publication_wait);
    }
    return print_in_force("in_force_one_paused", bench);
}

/// One VM restarts at most a few seconds before the publication.
double measure_with_joiner(control_bench& bench)
{
    fleet& running = bench.fleet_under_test();
    for (std::size_t number = 0; number < publication_count; ++number)
    {
        fleet_vm const& joining = bench.vm_at(number);
        bench.kill(joining);
        running.add(joining);
        running.run_for(bench.random_wait());
        bench.publish({joining.id});
        running.run_for(publication_wait);
    }
    return print_in_force("in_force_one_joining", bench);
}

/// The platform was down for long, so that its readers have backed off; the
/// latency counts from the moment at which it answers again. It is no part of
/// the worst case: no platform that is down publishes.
void measure_after_outage(control_bench& bench)
{
    fleet& running = bench.fleet_under_test();
    for (std::size_t number = 0; number < outage_count; ++number)
    {
        running.set_platform_down(true);
        running.run_for(outage_length + bench.random_wait());
        running.set_platform_down(false);
        bench.publish();
        running.run_for(outage_wait);
    }
    print_in_force("in_force_after_outage", bench);
}

double measure_with_loss(bench_settings settings)
{
    settings.lost_permille = lossy_permille;
    control_bench bench(settings);
    bench.start();
    return measure_quiet_publications("in_force_loss_2_percent", bench);
}

void measure_many_flows()
{
    bench_settings settings;
    settings.flows = many_flows;
    control_bench bench(settings);
    bench.start();
    measure_deaths("death_each_minute_many_flows", bench);
}

/// All cases of one size.
struct size_figures
{
    std::size_t vms = 0;
    cost_figures idle;
    cost_figures changes;
    cost_figures deaths;
    double in_force_milliseconds = 0.0;
};

size_figures measure_size(std::size_t vms)
{
    bench_settings settings;
    settings.vms = vms;
    bool const is_full = vms <= maximum_full_vms;
    settings.flows = is_full ? vms * flows_per_vm : flows_per_vm;
    control_bench bench(settings);
    bench.start();
    size_figures figures;
    figures.vms = vms;
    figures.idle = measure_idle(bench);
    change_figures const changes = measure_changes(bench);
    figures.changes = changes.cost;
    double worst = std::max(
        changes.in_force_milliseconds,
        measure_quiet_publications(
            "in_force_quiet", bench,
            is_full ? publication_count : few_publications));
    if (is_full)
    {
        figures.deaths = measure_deaths("death_each_minute", bench);
        worst = std::max(worst, measure_with_pause(bench));
        worst = std::max(worst, measure_with_joiner(bench));
        worst = std::max(worst, measure_with_loss(settings));
        measure_after_outage(bench);
    }
    figures.in_force_milliseconds = worst;
    return figures;
}

std::string verdict(double figure, double budget)
{
    return figure <= budget ? "held" : "exceeded";
}

/// The worst of all cases of one size against the users' budgets.
void print_budgets(size_figures const& figures)
{
    double const bytes = std::max(
        {figures.idle.worst_vm_bytes_per_second,
         figures.changes.worst_vm_bytes_per_second,
         figures.deaths.worst_vm_bytes_per_second});
    double const percent = std::max(
        {figures.idle.percent, figures.changes.percent,
         figures.deaths.percent});
    double const in_force = figures.in_force_milliseconds;
    std::cout << "budgets vms=" << figures.vms
              << " worst_vm_bytes_per_s=" << bytes << "/"
              << budget_bytes_per_second << ":"
              << verdict(bytes, budget_bytes_per_second)
              << " cpu_percent=" << percent << "/" << budget_percent << ":"
              << verdict(percent, budget_percent)
              << " in_force_max_ms=" << in_force << "/"
              << budget_in_force_milliseconds << ":"
              << verdict(in_force, budget_in_force_milliseconds) << std::endl;
}

void print_slope(
    std::string const& name,
    std::string const& unit,
    std::vector<point> const& points)
{
    line const fitted = fit_line(points);
    std::cout << std::setprecision(slope_digits) << "slope=" << name
              << " per=" << unit << " value=" << fitted.slope
              << " at_zero=" << fitted.at_zero << " from=" << points.front().x
              << " to=" << points.back().x << std::setprecision(figure_digits)
              << std::endl;
}

void print_member_slopes(std::vector<size_figures> const& sizes)
{
    std::vector<point> idle;
    std::vector<point> changes;
    std::vector<point> deaths;
    std::vector<point> percent;
    std::vector<point> change_percent;
    std::vector<point> in_force;
    for (size_figures const& item : sizes)
    {
        auto const vms = static_cast<double>(item.vms);
        idle.push_back({vms, item.idle.bytes_per_second});
        changes.push_back(
            {vms, item.changes.bytes_per_second - item.idle.bytes_per_second});
        double const per_death =
            (item.deaths.bytes_per_second - item.idle.bytes_per_second) *
            to_seconds(death_period) * vms;
        if (item.vms <= maximum_full_vms)
            deaths.push_back({vms, per_death});
        percent.push_back({vms, item.idle.percent});
        change_percent.push_back(
            {vms, item.changes.percent - item.idle.percent});
        in_force.push_back({vms, item.in_force_milliseconds});
    }
    print_slope("idle_bytes_per_s", "vm", idle);
    print_slope("bytes_per_change", "vm", changes);
    print_slope("fleet_bytes_per_death", "vm", deaths);
    print_slope("idle_percent", "vm", percent);
    print_slope("percent_at_a_change_each_second", "vm", change_percent);
    print_slope("in_force_max_ms", "vm", in_force);
}

/// How idle and changing cost grow with one dimension of the declarations.
void measure_declarations(
    std::string const& unit, std::vector<bench_settings> const& variants)
{
    std::vector<point> idle;
    std::vector<point> idle_percent;
    std::vector<point> changes;
    std::vector<point> change_percent;
    for (bench_settings const& settings : variants)
    {
        control_bench bench(settings);
        bench.start();
        cost_figures const quiet = measure_idle(bench);
        cost_figures const busy = measure_changes(bench).cost;
        auto const x = static_cast<double>(
            unit == "upstream" ? settings.upstreams : settings.organisations);
        idle.push_back({x, quiet.bytes_per_second});
        idle_percent.push_back({x, quiet.percent});
        changes.push_back({x, busy.bytes_per_second - quiet.bytes_per_second});
        change_percent.push_back({x, busy.percent - quiet.percent});
    }
    print_slope("idle_bytes_per_s", unit, idle);
    print_slope("idle_percent", unit, idle_percent);
    print_slope("bytes_per_change", unit, changes);
    print_slope("percent_at_a_change_each_second", unit, change_percent);
}

void measure_upstreams()
{
    std::vector<bench_settings> variants;
    for (std::size_t const upstreams : {14, 56, 112, 224})
    {
        bench_settings settings;
        settings.upstreams = upstreams;
        variants.push_back(settings);
    }
    measure_declarations("upstream", variants);
}

void measure_organisations()
{
    std::vector<bench_settings> variants;
    for (std::size_t const organisations : {1, 8, 32, 128})
    {
        bench_settings settings;
        settings.organisations = organisations;
        settings.upstreams = 4;
        variants.push_back(settings);
    }
    measure_declarations("organisation", variants);
}

void print_configuration()
{
    std::cout
        << "configuration domains=4 upstreams=" << upstream_count
        << " flows_per_vm=" << flows_per_vm
        << " (idle; 256 VMs: " << flows_per_vm
        << " in all) idle_s=" << to_seconds(idle_length)
        << " change_s=" << to_seconds(change_length)
        << " deaths=" << death_count
        << " replaced_after_s=" << to_seconds(replacement_delay)
        << " publications=" << publication_count
        << " delay_between_vms_ms=0.5 delay_to_platform_ms=0.5\n"
        << "configuration bytes_per_s: sent plus received, mean of the VMs;"
           " datagrams with authenticator and 28 bytes IP/UDP; texts of"
           " documents from peers and platform; listings of the platform"
           " estimated as JSON with 400 bytes of HTTP; not counted: TCP and"
           " RPC around documents, health probes, frames of packets\n"
        << "configuration percent: of one core, processor time of the"
           " reducer's events without packets (reducer_percent), and encoding,"
           " signing, checking and decoding of datagrams (codec_percent);"
           " cpu_percent is the sum; system calls are not in it\n";
}

} // namespace

int main()
{
    std::cout << std::fixed << std::setprecision(figure_digits);
    print_configuration();
    std::vector<size_figures> sizes;
    for (std::size_t const vms : vm_counts)
        sizes.push_back(measure_size(vms));
    measure_many_flows();
    measure_upstreams();
    measure_organisations();
    print_member_slopes(sizes);
    for (size_figures const& item : sizes)
        print_budgets(item);
    auto const reference =
        std::ranges::find(sizes, reference_vms, &size_figures::vms);
    std::cout << "idle_bytes_per_s=" << reference->idle.bytes_per_second
              << " churn_bytes_per_s=" << reference->changes.bytes_per_second
              << " cpu_percent=" << reference->changes.percent
              << " in_force_max_ms=" << reference->in_force_milliseconds
              << "\n";
}
