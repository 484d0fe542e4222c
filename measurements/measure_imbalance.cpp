/// Measures how evenly flows spread over upstreams under each candidate
/// policy and two baselines. Arrivals, lifetimes and seeds are the same for
/// all; every VM's placement sees only the openings that it owns.

#include <placement/fixture.hpp>

#include <placement/rendezvous.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>
#include <queue>
#include <random>

using namespace cairnhead;
using namespace cairnhead::testing;

namespace
{

enum class scenario
{
    steady,
    burst,
    cold,
    slow,
    lying_idle,
    lying_busy,
};

constexpr std::array scenarios = {scenario::steady,     scenario::burst,
                                  scenario::cold,       scenario::slow,
                                  scenario::lying_idle, scenario::lying_busy};
constexpr std::array scenario_names = {"steady", "burst",      "cold",
                                       "slow",   "lying_idle", "lying_busy"};

enum class lifetimes
{
    exponential,
    /// Pareto with exponent 1.5 and the same mean.
    heavy_tailed,
};

enum class method
{
    policy,
    stateless,
    round_robin,
    /// The lower reported load of the first two choices.
    reported,
};

struct contender
{
    char const* name;
    method how = method::policy;
    placement_preference prefer = placement_preference::balance;
    placement_policy policy;
};

struct deployment
{
    char const* name;
    std::uint32_t vms;
    std::uint32_t slots;
};

constexpr std::array deployments = {
    deployment{"association", 8, 2}, deployment{"brackenlea", 6, 3}};
constexpr std::array service_sizes = {14U, 4U};

/// The contender whose figures end in the last line.
constexpr char const* built_name = "balance (as built)";

constexpr double flows_per_upstream = 150.0;
constexpr double mean_lifetime = 60.0;
constexpr double burst_lifetime = 10.0;
constexpr double burst_factor = 5.0;
constexpr double burst_period = 60.0;
constexpr double burst_length = 10.0;
constexpr double slow_factor = 4.0;
constexpr double warm_up = 600.0;
constexpr double measured = 400.0;
constexpr std::uint64_t seeds = 3;
constexpr std::uint32_t special_upstream = 1;

struct closing
{
    double at = 0.0;
    std::uint32_t vm = 0;
    std::uint32_t upstream = 0;

    bool operator>(closing const& other) const
    {
        return this->at > other.at;
    }
};

struct outcome
{
    /// Mean over time of the most loaded upstream's flows per slot, divided
    /// by the mean over upstreams.
    double maximum = 0.0;
    double percentile_99 = 0.0;
    /// The highest ratio of any moment.
    double peak = 0.0;
    /// The special upstream's mean ratio.
    double special = 0.0;
    /// The special upstream's most openings in 5 s, divided by a fair share.
    double surge = 0.0;
    /// The share of openings at the predicted upstream.
    double predicted = 1.0;
};

class simulation
{
public:
    simulation(
        deployment const& where,
        std::uint32_t size,
        scenario what,
        lifetimes length,
        contender const& who,
        std::uint64_t seed)
        : fleet(where), count(size), kind(what), tail(length), subject(who),
          random(seed)
    {
        this->flows.resize(size + 2);
        this->turns.resize(where.vms);
        this->old_loads.resize(size + 2);
        this->told_loads.resize(size + 2);
        for (std::uint32_t vm = 0; vm < where.vms; ++vm)
        {
            vm_identity const id{vm_id(vm + 1), failure_domain_id(1)};
            this->owners.emplace_back(placement_settings{}, id, vm, who.policy);
        }
        this->declare(0.0);
    }

    outcome run()
    {
        double const rate = flows_per_upstream * this->count / mean_lifetime;
        double next_opening = 0.0;
        double next_sample = 1.0;
        while (this->now < warm_up + measured)
        {
            this->now = next_opening;
            while (next_sample <= this->now)
            {
                this->close_until(next_sample);
                this->sample(next_sample);
                next_sample += 1.0;
            }
            this->close_until(this->now);
            this->open();
            auto const factor = this->is_bursting() ? burst_factor : 1.0;
            std::exponential_distribution<double> gap(rate * factor);
            next_opening += gap(this->random);
        }
        return this->summarise();
    }

private:
    static time_point to_time(double seconds)
    {
        return start + std::chrono::duration_cast<duration>(
                           std::chrono::duration<double>(seconds));
    }

    bool is_bursting() const
    {
        return this->kind == scenario::burst &&
               std::fmod(this->now, burst_period) < burst_length;
    }

    void declare(double at)
    {
        auto declared = make_upstreams(this->count);
        for (auto& one : declared)
        {
            one.slots = this->fleet.slots;
        }
        this->current = make_directory(declared, this->subject.prefer);
        this->keys.clear();
        for (auto const& one : declared)
        {
            this->keys.emplace_back(one.id, one.slots);
        }
        for (auto& owner : this->owners)
        {
            owner.set_directory(to_time(at), this->current);
            owner.set_fleet(
                this->fleet.vms,
                [](failure_domain_id)
                {
                    return true;
                });
        }
    }

    std::uint32_t choose(std::uint32_t vm, flow_id flow)
    {
        switch (this->subject.how)
        {
        case method::stateless:
            this->predicted += 1;
            return first_choice(flow, this->keys)->value();
        case method::round_robin:
            this->turns[vm] = this->turns[vm] % this->count + 1;
            return this->turns[vm];
        case method::reported:
            return this->choose_reported(flow);
        case method::policy:
            break;
        }
        auto const answer = this->owners[vm].choose(
            to_time(this->now), this->current->services().front(), flow);
        auto const& chosen = std::get<placed>(answer);
        this->predicted += chosen.is_predicted ? 1 : 0;
        return chosen.upstream.value();
    }

    std::uint32_t choose_reported(flow_id flow)
    {
        auto const first = *first_choice(flow, this->keys);
        auto others = this->keys;
        std::erase_if(
            others,
            [first](weighted_upstream const& one)
            {
                return one.id == first;
            });
        auto const second = *first_choice(flow, others);
        auto const is_first_better =
            this->told_loads[first.value()] <= this->told_loads[second.value()];
        this->predicted += is_first_better ? 1 : 0;
        return is_first_better ? first.value() : second.value();
    }

    double draw_lifetime(std::uint32_t upstream)
    {
        auto const mean = this->is_bursting() ? burst_lifetime : mean_lifetime;
        auto const is_slow =
            this->kind == scenario::slow && upstream == special_upstream;
        auto const factor = is_slow ? slow_factor : 1.0;
        std::exponential_distribution<double> exponential(1.0);
        auto const sample = exponential(this->random);
        if (this->tail == lifetimes::exponential)
        {
            return factor * mean * sample;
        }
        constexpr double exponent = 1.5;
        return factor * mean * (1.0 - 1.0 / exponent) *
               std::exp(sample / exponent);
    }

    void open()
    {
        flow_id const flow(this->random());
        auto const vm = static_cast<std::uint32_t>(
            hash_pair(flow.value(), 1) % this->fleet.vms);
        auto const upstream = this->choose(vm, flow);
        auto const is_slow =
            this->kind == scenario::slow && upstream == special_upstream;
        std::uniform_real_distribution<double> noise(0.001, 0.003);
        auto const latency = noise(this->random) * (is_slow ? 8.0 : 1.0);
        auto& owner = this->owners[vm];
        owner.flow_opened(to_time(this->now), upstream_id(upstream));
        owner.opening_confirmed(
            to_time(this->now), upstream_id(upstream), to_time(latency) - start,
            this->effects);
        this->flows[upstream] += 1;
        this->openings += 1;
        this->recent += 1;
        this->recent_special += upstream == this->special() ? 1 : 0;
        this->pending.push(
            {this->now + this->draw_lifetime(upstream), vm, upstream});
    }

    void close_until(double at)
    {
        while (!this->pending.empty() && this->pending.top().at <= at)
        {
            auto const one = this->pending.top();
            this->pending.pop();
            this->flows[one.upstream] -= 1;
            this->owners[one.vm].flow_closed(
                to_time(one.at), upstream_id(one.upstream));
        }
    }

    std::uint32_t special() const
    {
        return this->kind == scenario::cold ? this->count : special_upstream;
    }

    void sample(double at)
    {
        auto const second = static_cast<std::uint64_t>(at);
        if (second % 2 == 0)
        {
            this->send_reports(at);
        }
        if (this->kind == scenario::cold && at == warm_up)
        {
            this->count += 1;
            this->declare(at);
        }
        if (at < warm_up)
        {
            return;
        }
        this->measure();
        if (second % 5 == 0 && this->recent > 0)
        {
            this->result.surge = std::max(
                this->result.surge, static_cast<double>(this->recent_special) *
                                        this->count /
                                        static_cast<double>(this->recent));
            this->recent = 0;
            this->recent_special = 0;
        }
    }

    void measure()
    {
        std::span const used(this->flows.data() + 1, this->count);
        double const mean = std::accumulate(used.begin(), used.end(), 0.0) /
                            static_cast<double>(used.size());
        double highest = 0.0;
        for (auto const one : used)
        {
            this->ratios.push_back(one / mean);
            highest = std::max(highest, one / mean);
        }
        this->samples += 1;
        this->result.maximum += highest;
        this->result.peak = std::max(this->result.peak, highest);
        this->result.special += this->flows[this->special()] / mean;
    }

    /// Each upstream tells the load that it had two seconds ago.
    void send_reports(double at)
    {
        upstream_report_listing listing;
        for (std::uint32_t id = 1; id <= this->count; ++id)
        {
            auto load = this->old_loads[id];
            if (id == special_upstream)
            {
                load = this->kind == scenario::lying_idle ? 0.0 : load;
                load = this->kind == scenario::lying_busy ? 1000.0 : load;
            }
            this->told_loads[id] = load;
            listing.reports.push_back(
                {upstream_id(id), upstream_condition::healthy,
                 static_cast<std::uint16_t>(std::min(load, 1000.0)), 2000});
            this->old_loads[id] = this->flows[id] * 500.0 / flows_per_upstream;
        }
        for (auto& owner : this->owners)
        {
            owner.receive(to_time(at), vm_id(99), listing, this->effects);
        }
        this->effects.clear();
    }

    outcome summarise()
    {
        auto const place =
            this->ratios.begin() +
            static_cast<std::ptrdiff_t>(this->ratios.size() * 99 / 100);
        std::nth_element(this->ratios.begin(), place, this->ratios.end());
        this->result.percentile_99 = *place;
        this->result.maximum /= static_cast<double>(this->samples);
        this->result.special /= static_cast<double>(this->samples);
        this->result.predicted = static_cast<double>(this->predicted) /
                                 static_cast<double>(this->openings);
        return this->result;
    }

    deployment fleet;
    std::uint32_t count;
    scenario kind;
    lifetimes tail;
    contender subject;
    std::mt19937_64 random;
    std::shared_ptr<directory const> current;
    std::vector<weighted_upstream> keys;
    std::vector<placement> owners;
    std::vector<std::uint32_t> turns;
    std::vector<std::uint32_t> flows;
    std::vector<double> old_loads;
    std::vector<double> told_loads;
    std::vector<double> ratios;
    std::priority_queue<closing, std::vector<closing>, std::greater<>> pending;
    effect_list effects;
    double now = 0.0;
    std::uint64_t openings = 0;
    std::uint64_t predicted = 0;
    std::uint64_t recent = 0;
    std::uint64_t recent_special = 0;
    std::uint64_t samples = 0;
    outcome result;
};

void keep_worst(outcome& worst, outcome const& other)
{
    worst.maximum = std::max(worst.maximum, other.maximum);
    worst.percentile_99 = std::max(worst.percentile_99, other.percentile_99);
    worst.peak = std::max(worst.peak, other.peak);
    worst.special = std::max(worst.special, other.special);
    worst.surge = std::max(worst.surge, other.surge);
    worst.predicted = std::min(worst.predicted, other.predicted);
}

/// The worst over deployments, services, lifetimes and seeds.
outcome find_worst(scenario what, contender const& who)
{
    outcome worst;
    for (auto const& where : deployments)
    {
        for (auto const size : service_sizes)
        {
            for (auto const tail :
                 {lifetimes::exponential, lifetimes::heavy_tailed})
            {
                for (std::uint64_t seed = 1; seed <= seeds; ++seed)
                {
                    simulation one(where, size, what, tail, who, seed);
                    keep_worst(worst, one.run());
                }
            }
        }
    }
    return worst;
}

placement_policy make_policy(std::uint32_t candidates, double lean = 0.0)
{
    placement_policy result;
    result.balance_candidates = candidates;
    result.balance_tolerance = lean;
    return result;
}

placement_policy make_continuity(double excess)
{
    placement_policy result;
    result.continuity_load_ratio = excess;
    return result;
}

placement_policy make_own_counts_only()
{
    placement_policy result;
    result.minimum_report_share = 1.0;
    result.minimum_latency_share = 1.0;
    return result;
}

placement_policy make_uncontradicted()
{
    placement_policy result;
    result.contradicting_latency_ratio = 0.0;
    return result;
}

std::vector<contender> make_contenders()
{
    constexpr auto balance = placement_preference::balance;
    constexpr auto continuity = placement_preference::continuity;
    constexpr auto how = method::policy;
    return {
        {built_name, how, balance, {}},
        {"balance d=2 lean 0", how, balance, make_policy(2)},
        {"balance d=3 lean 0", how, balance, make_policy(3)},
        {"balance d=4 lean 0", how, balance, make_policy(4)},
        {"balance d=6 lean 0", how, balance, make_policy(6)},
        {"balance all lean 0", how, balance, make_policy(1000)},
        {"balance d=2 lean 10%", how, balance, make_policy(2, 0.1)},
        {"balance d=4 lean 5%", how, balance, make_policy(4, 0.05)},
        {"balance d=4 lean 20%", how, balance, make_policy(4, 0.2)},
        {"balance own counts only", how, balance, make_own_counts_only()},
        {"balance uncontradicted", how, balance, make_uncontradicted()},
        {"continuity 1.1", how, continuity, make_continuity(1.1)},
        {"continuity (as built)", how, continuity, {}},
        {"continuity 1.5", how, continuity, make_continuity(1.5)},
        {"continuity 2.0", how, continuity, make_continuity(2.0)},
        {"stateless rendezvous", method::stateless, balance, {}},
        {"reported load, d=2", method::reported, balance, {}},
        {"round robin per VM", method::round_robin, balance, {}},
    };
}

} // namespace

int main()
{
    std::printf(
        "%-26s %-10s %6s %6s %6s %8s %6s %9s\n", "method", "scenario", "max",
        "p99", "peak", "special", "surge", "predicted");
    std::array<outcome, scenarios.size()> built;
    outcome stateless_steady;
    for (auto const& who : make_contenders())
    {
        for (std::size_t index = 0; index < scenarios.size(); ++index)
        {
            auto const worst = find_worst(scenarios[index], who);
            std::printf(
                "%-26s %-10s %6.3f %6.3f %6.3f %8.3f %6.2f %9.3f\n", who.name,
                scenario_names[index], worst.maximum, worst.percentile_99,
                worst.peak, worst.special, worst.surge, worst.predicted);
            if (std::string_view(who.name) == built_name)
            {
                built[index] = worst;
            }
            if (who.how == method::stateless && index == 0)
            {
                stateless_steady = worst;
            }
        }
    }
    std::printf(
        "steady=%.3f burst=%.3f cold=%.3f slow=%.3f lying=%.3f "
        "stateless_steady=%.3f\n",
        built[0].maximum, built[1].maximum, built[2].maximum, built[3].maximum,
        std::max(built[4].maximum, built[5].maximum), stateless_steady.maximum);
    return 0;
}
