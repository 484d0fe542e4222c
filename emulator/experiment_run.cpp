#include <emulator/experiment_run.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <unistd.h>

namespace cairnhead::emulator
{

namespace
{

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

/// How finely the moment is found at which the last VM knows the registry.
constexpr duration start_look = 10ms;

/// By then all VMs must know the registry after a start of all.
constexpr duration start_bound = 30s;

/// After the last change, so that it can be in force everywhere.
constexpr duration tail = 7s;

double to_milliseconds(duration length)
{
    return std::chrono::duration<double, std::milli>(length).count();
}

double to_seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

double resident_megabytes()
{
    std::ifstream statm("/proc/self/statm");
    double total = 0;
    double resident = 0;
    statm >> total >> resident;
    constexpr double bytes_of_megabyte = 1'000'000;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) /
           bytes_of_megabyte;
}

class experiment_run
{
public:
    experiment_run(experiment const& chosen, std::uint32_t vms)
        : plan(chosen), memory_before(resident_megabytes()),
          fleet(topology_at(chosen, vms), chosen.seed)
    {
        this->result.experiment = chosen.name;
        this->result.vms = vms;
    }

    run_result run()
    {
        this->tell("start");
        this->fleet.start_all();
        this->result.cold_start_milliseconds = this->wait_until_informed();
        this->tell("settle");
        this->fleet.run_for(this->plan.settle);
        this->fleet.meter().reset(this->fleet.now());
        this->tell("measure");
        this->run_steps();
        this->summarize_costs();
        this->fleet.run_for(tail);
        this->fleet.find_late_changes();
        this->summarize_changes();
        this->tell("end");
        return this->result;
    }

private:
    void tell(char const* phase)
    {
        std::cerr << "experiment=" << this->plan.name
                  << " vms=" << this->result.vms << " phase=" << phase
                  << " violations=" << this->fleet.meter().violations() << '\n';
    }

    /// The time from now on until all VMs that run know the registry.
    double wait_until_informed()
    {
        time_point const begin = this->fleet.now();
        while (this->fleet.now() < begin + start_bound)
        {
            this->fleet.run_for(start_look);
            auto const running = this->fleet.count_running();
            bool const is_whole = running == this->result.vms;
            if (is_whole && this->fleet.count_informed() == running)
                return to_milliseconds(this->fleet.now() - begin);
        }
        this->fleet.meter().note_violation(violation::start_late);
        return to_milliseconds(start_bound);
    }

    void run_steps()
    {
        time_point const begin = this->fleet.now();
        time_point const end = begin + this->plan.length;
        struct due_step
        {
            time_point at;
            experiment_step step;
        };
        std::vector<due_step> due;
        for (experiment_step const& step : this->plan.steps)
        {
            time_point at = begin + step.at;
            due.push_back({at, step});
            while (step.every > duration{} && (at += step.every) < end)
                due.push_back({at, step});
        }
        std::ranges::stable_sort(due, {}, &due_step::at);
        for (due_step const& next : due)
        {
            // Steps that last may reach beyond the next one.
            this->fleet.run_for(
                std::max(next.at - this->fleet.now(), duration{}));
            this->carry_out(next.step);
        }
        this->fleet.run_for(std::max(end - this->fleet.now(), duration{}));
    }

    void carry_out(experiment_step const& step)
    {
        switch (step.kind)
        {
        case step_kind::replace_upstreams:
            return this->fleet.replace_upstreams(step.count);
        case step_kind::change_route:
            return this->fleet.change_route();
        case step_kind::add_routes:
            return this->fleet.add_routes(step.count);
        case step_kind::restart_vms:
            return this->fleet.restart(
                this->fleet.pick_running(step.count), step.lasts);
        case step_kind::restart_rack:
            return this->fleet.restart(
                this->fleet.pick_domain(0, step.count), step.lasts);
        case step_kind::restart_all:
            this->fleet.start_all();
            this->result.cold_start_milliseconds = this->wait_until_informed();
            return;
        case step_kind::cut_domain:
            this->fleet.network().set_domain_cut(0, true);
            this->fleet.run_for(step.lasts);
            return this->fleet.network().set_domain_cut(0, false);
        case step_kind::cut_region:
            this->fleet.network().set_region_cut(0, true);
            this->fleet.run_for(step.lasts);
            return this->fleet.network().set_region_cut(0, false);
        case step_kind::platform_down:
            this->fleet.set_platform(platform_condition::down);
            this->fleet.run_for(step.lasts);
            return this->fleet.set_platform(platform_condition::good);
        }
    }

    void summarize_costs()
    {
        fleet_meter const& meter = this->fleet.meter();
        double const seconds = to_seconds(meter.elapsed(this->fleet.now()));
        auto const vms = static_cast<double>(this->result.vms);
        run_result& sums = this->result;
        constexpr double percent = 100;
        for (vm_cost const& cost : meter.costs())
        {
            double const bytes =
                static_cast<double>(cost.sent_bytes + cost.received_bytes) /
                seconds;
            double const processor =
                to_seconds(cost.processor_time) / seconds * percent;
            sums.mean_bytes_per_second += bytes / vms;
            sums.busiest_bytes_per_second =
                std::max(sums.busiest_bytes_per_second, bytes);
            sums.between_domains_per_second +=
                static_cast<double>(cost.bytes_between_domains) / seconds / vms;
            sums.datagrams_per_second +=
                static_cast<double>(cost.datagrams) / seconds / vms;
            sums.mean_processor_percent += processor / vms;
            sums.busiest_processor_percent =
                std::max(sums.busiest_processor_percent, processor);
        }
        sums.platform_calls_per_second =
            static_cast<double>(meter.platform_calls()) / seconds;
        sums.memory_megabytes =
            (resident_megabytes() - this->memory_before) / vms;
    }

    void summarize_changes()
    {
        fleet_meter const& meter = this->fleet.meter();
        this->result.changes = meter.changes().size();
        for (change_progress const& change : meter.changes())
        {
            if (!change.last_in_force_at)
                continue;
            this->result.in_force_worst_milliseconds = std::max(
                this->result.in_force_worst_milliseconds,
                to_milliseconds(
                    *change.last_in_force_at - change.published_at));
        }
        this->result.violations = meter.violations();
        for (violation const kind :
             {violation::version_fell, violation::change_late,
              violation::wrong_death, violation::start_late})
        {
            auto const count = meter.violations_of(kind);
            if (count == 0)
                continue;
            this->result.violations_by_kind +=
                std::string(to_text(kind)) + '=' + std::to_string(count) + ' ';
        }
    }

    experiment const& plan;
    double memory_before;
    emulated_fleet fleet;
    run_result result;
};

} // namespace

run_result run_experiment(experiment const& plan, std::uint32_t vms)
{
    return experiment_run(plan, vms).run();
}

} // namespace cairnhead::emulator
