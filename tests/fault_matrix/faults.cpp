#include <fault_matrix/faults.hpp>

#include <algorithm>
#include <iterator>
#include <stdexcept>

namespace cairnhead::test
{

namespace
{

std::size_t number_of(std::size_t round)
{
    return round + 1;
}

void report_of_all(bench& tested, upstream_report report)
{
    for (std::size_t at = 0; at < tested.declared.upstreams; ++at)
    {
        report.upstream = tested.declared.upstream_at(at);
        tested.wrong.reports[report.upstream] = report;
    }
}

void report_of_one(
    bench& tested, std::size_t round, upstream_condition condition)
{
    upstream_id const upstream = tested.declared.upstream_at(round);
    tested.wrong.reports[upstream] = {upstream, condition, 1'000, 0};
}

void forget_reports(bench& tested, std::size_t)
{
    tested.wrong.reports.clear();
}

void kill(bench& tested, std::size_t round)
{
    tested.vms.kill(bench::vm(number_of(round)));
}

void restart(bench& tested, std::size_t round)
{
    tested.vms.restart(bench::vm(number_of(round)));
}

void join(bench& tested, std::size_t round)
{
    tested.vms.add(
        {bench::vm(bench::first_added_vm + round), bench::domain(round % 2)});
}

void leave(bench& tested, std::size_t round)
{
    tested.vms.leave(bench::vm(number_of(round)));
}

void pause(bench& tested, std::size_t round)
{
    tested.vms.pause(bench::vm(number_of(round)));
}

void resume(bench& tested, std::size_t round)
{
    tested.vms.resume(bench::vm(number_of(round)));
}

void kill_upstream(bench& tested, std::size_t round)
{
    tested.vms.kill_upstream(tested.declared.upstream_at(round));
}

void drain_by_label(bench& tested, std::size_t round)
{
    tested.declared.draining.insert(round);
    tested.publish(tested.declared);
}

void drain_by_report(bench& tested, std::size_t round)
{
    report_of_one(tested, round, upstream_condition::draining);
}

void start_cold(bench& tested, std::size_t)
{
    tested.declared.upstreams += 6;
    tested.publish(tested.declared);
}

void shed(bench& tested, std::size_t round)
{
    report_of_one(tested, round, upstream_condition::shedding);
}

void report_late(bench& tested, std::size_t)
{
    report_of_all(tested, {{}, upstream_condition::healthy, 900, 9'000});
}

void report_idle(bench& tested, std::size_t)
{
    report_of_all(tested, {{}, upstream_condition::healthy, 0, 0});
}

void report_failed(bench& tested, std::size_t)
{
    report_of_all(tested, {{}, upstream_condition::failed, 0, 0});
}

void stop_platform(bench& tested, std::size_t)
{
    tested.vms.set_platform_down(true);
}

void start_platform(bench& tested, std::size_t)
{
    tested.vms.set_platform_down(false);
}

void stop_platform_news(bench& tested, std::size_t)
{
    tested.vms.set_platform_stale(true);
    // The others go on from the newer version that some have by now.
    tested.declared.upstreams += 2;
    tested.publish(tested.declared);
}

void start_platform_news(bench& tested, std::size_t)
{
    tested.vms.set_platform_stale(false);
}

void lag_list(bench& tested, std::size_t round)
{
    vm_id const unlisted = bench::vm(bench::first_added_vm + round);
    tested.wrong.unlisted.insert(unlisted);
    join(tested, round);
}

void list_all(bench& tested, std::size_t)
{
    tested.wrong.unlisted.clear();
}

void update_some(bench& tested, std::size_t round)
{
    tested.wrong.without_documents = {bench::vm(2), bench::vm(3)};
    drain_by_label(tested, round);
}

void update_all(bench& tested, std::size_t)
{
    tested.wrong.without_documents.clear();
}

void publish_nonsense(bench& tested, std::size_t)
{
    tested.vms.publish("organisations/association", "organisation: [not");
}

void publish_conflict(bench& tested, std::size_t)
{
    sample_declarations greedy = tested.declared;
    greedy.network = tested.declared.network + 1;
    tested.publish(greedy);
}

void race_operators(bench& tested, std::size_t round)
{
    sample_declarations other = tested.declared;
    other.draining.insert(round + 4);
    tested.publish(other);
    drain_by_label(tested, round);
    tested.publish(other);
}

void cut_domains(bench& tested, std::size_t)
{
    tested.vms.cut(bench::domain(0), bench::domain(1));
}

void heal_domains(bench& tested, std::size_t)
{
    tested.vms.heal();
}

void cut_platform(bench& tested, std::size_t)
{
    tested.wrong.without_platform = {bench::vm(1), bench::vm(3), bench::vm(5)};
}

void heal_platform(bench& tested, std::size_t)
{
    tested.wrong.without_platform.clear();
}

void lose(bench& tested, std::size_t)
{
    tested.wrong.lost_permille = 100;
}

void duplicate(bench& tested, std::size_t)
{
    tested.wrong.duplicated_permille = 300;
}

void reorder(bench& tested, std::size_t)
{
    tested.wrong.delayed_permille = 300;
}

void mend_network(bench& tested, std::size_t)
{
    tested.wrong.lost_permille = 0;
    tested.wrong.duplicated_permille = 0;
    tested.wrong.delayed_permille = 0;
}

fault const faults[] = {
    {"a VM dies", 0s, kill},
    {"a VM restarts", 0s, restart},
    {"a VM joins", 0s, join},
    {"a VM leaves", 0s, leave},
    {"a VM pauses within its lease", 1s, pause, resume},
    {"a VM pauses and wakes late", 8s, pause, resume},
    {"a VM sleeps for a minute", 60s, pause, resume},
    {"an upstream dies", 0s, kill_upstream},
    {"an upstream drains by label", 0s, drain_by_label},
    {"an upstream drains by report", 10s, drain_by_report},
    {"upstreams start cold", 0s, start_cold},
    {"an upstream sheds", 20s, shed, forget_reports},
    {"reports lag", 20s, report_late, forget_reports},
    {"reports lie", 20s, report_idle, forget_reports},
    {"reports say that all failed", 20s, report_failed, forget_reports},
    {"the platform is down", 60s, stop_platform, start_platform},
    {"the platform is stale", 60s, stop_platform_news, start_platform_news},
    {"the VM list lags", 60s, lag_list, list_all},
    {"an update reaches some VMs", 10s, update_some, update_all},
    {"a document is not valid", 0s, publish_nonsense},
    {"a document conflicts", 0s, publish_conflict},
    {"operators race", 0s, race_operators},
    {"failure domains are cut off", 15s, cut_domains, heal_domains},
    {"a failure domain lacks the platform", 30s, cut_platform, heal_platform},
    {"packets are lost", 30s, lose, mend_network},
    {"packets are duplicated", 30s, duplicate, mend_network},
    {"packets are reordered", 30s, reorder, mend_network},
};

} // namespace

std::span<fault const> all_faults()
{
    return faults;
}

fault const& find_fault(std::string_view name)
{
    auto const* const found = std::ranges::find(faults, name, &fault::name);
    if (found == std::end(faults))
        throw std::logic_error("no such fault");
    return *found;
}

} // namespace cairnhead::test
