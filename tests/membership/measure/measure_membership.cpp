#include <fleet.hpp>

#include <algorithm>
#include <cstdio>

/// Prints, by fleet size: how many probe periods pass from a VM's death until
/// the first and the last VM hold it dead, what each VM sends, how long a
/// healed partition takes to one view, and false alarms under loss.

using namespace cairnhead;
using namespace cairnhead::testing;

namespace
{

constexpr std::uint32_t domain_count = 3;
/// Until the claims of the first joins have had their transmissions.
constexpr duration settling = 10min;
constexpr duration observed = 60s;

double periods_since(time_point start, time_point end)
{
    return std::chrono::duration<double>(end - start) /
           std::chrono::duration<double>(membership_settings{}.probe_period);
}

void print_load(fleet& vms, std::uint32_t count)
{
    traffic total;
    traffic most;
    vms.run_for(settling);
    vms.forget_traffic();
    vms.run_for(observed);
    for (std::uint32_t number = 1; number <= count; ++number)
    {
        traffic const sent = vms.sent_by(vm(number));
        total.messages += sent.messages;
        total.bytes += sent.bytes;
        most.bytes = std::max(most.bytes, sent.bytes);
    }
    double const seconds = std::chrono::duration<double>(observed).count();
    std::printf(
        "vms=%u messages_per_vm_per_second=%.2f bytes_per_vm_per_second=%.0f "
        "most_bytes_per_second=%.0f\n",
        count, static_cast<double>(total.messages) / count / seconds,
        static_cast<double>(total.bytes) / count / seconds,
        static_cast<double>(most.bytes) / seconds);
}

void print_detection(fleet& vms, std::uint32_t count, std::uint32_t victim)
{
    vms.reports.clear();
    time_point const killed = vms.now();
    vms.kill(vm(victim));
    while (!vms.is_settled())
        vms.run_for(tick_period);
    auto const is_suspicion = [](observed_report const& line)
    {
        return line.kind == report_kind::member_suspected;
    };
    auto const is_death = [](observed_report const& line)
    {
        return line.kind == report_kind::member_died;
    };
    auto const suspected = std::ranges::find_if(vms.reports, is_suspicion);
    auto const dead = std::ranges::find_if(vms.reports, is_death);
    std::printf(
        "vms=%u victim=%u periods_to_first_suspicion=%.1f "
        "periods_to_first_death=%.1f periods_to_last_death=%.1f deaths=%zu\n",
        count, victim, periods_since(killed, suspected->when),
        periods_since(killed, dead->when), periods_since(killed, vms.now()),
        vms.count_reports(report_kind::member_died, killed));
}

void print_healing(std::uint32_t count)
{
    fleet vms(count, domain_count);
    vms.faults.is_cut = [](vm_id sender, vm_id receiver)
    {
        return (domain_of(sender, domain_count).value() == 0) !=
               (domain_of(receiver, domain_count).value() == 0);
    };
    vms.run_for(2min);
    time_point const healed = vms.now();
    vms.faults.is_cut = {};
    while (!vms.is_settled())
        vms.run_for(tick_period);
    std::printf(
        "vms=%u periods_from_healing_to_one_view=%.1f deaths=%zu\n", count,
        periods_since(healed, vms.now()),
        vms.count_reports(report_kind::member_died, healed));
}

void print_false_alarms(std::uint32_t count)
{
    fleet vms(count, domain_count);
    vms.faults.loss_percent = 20;
    vms.faults.duplication_percent = 20;
    vms.run_for(10min);
    std::printf(
        "vms=%u loss_percent=20 minutes=10 suspected_reports=%zu "
        "died_reports=%zu\n",
        count, vms.count_reports(report_kind::member_suspected, {}),
        vms.count_reports(report_kind::member_died, {}));
}

} // namespace

int main()
{
    for (std::uint32_t const count : {8U, 64U, 512U})
    {
        fleet vms(count, domain_count);
        print_load(vms, count);
        for (std::uint32_t const victim : {2U, 4U, 5U, 7U})
            print_detection(vms, count, victim);
        print_healing(count);
        print_false_alarms(count);
    }
}
