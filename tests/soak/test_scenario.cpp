#include <soak/scenario.hpp>
#include <thin_path/fleet_files.hpp>

#include <criterion/criterion.h>
#include <fstream>
#include <set>

using namespace cairnhead;
using namespace cairnhead::soak;

namespace
{

std::filesystem::path
write(std::filesystem::path const& folder, std::string const& text)
{
    auto file = folder / "scenario.yaml";
    std::ofstream(file) << text;
    return file;
}

} // namespace

Test(scenario, a_seed_gives_the_same_faults_each_time)
{
    cr_expect(
        write_scenario(draw_scenario(7, 4)) ==
        write_scenario(draw_scenario(7, 4)));
    cr_expect(
        write_scenario(draw_scenario(7, 4)) !=
        write_scenario(draw_scenario(8, 4)));
}

Test(scenario, what_is_written_can_be_read)
{
    thin_path::temporary_folder const folder;
    for (std::uint64_t const first : {1UL, 100'000UL})
    {
        for (std::uint64_t seed = first; seed < first + 50; ++seed)
        {
            auto const plan = draw_scenario(seed, 4);
            auto const text = write_scenario(plan);
            auto const read = read_scenario(write(folder.path(), text));
            cr_expect(write_scenario(read) == text, "seed %lu", seed);
            cr_expect(
                read.placement == (first == 1 ? placement_rule::flows
                                              : placement_rule::answer_times));
        }
    }
}

Test(scenario, all_kinds_of_faults_are_drawn_and_some_overlap)
{
    std::set<fault_kind> drawn;
    std::size_t overlapping = 0;
    for (std::uint64_t seed = 100'001; seed <= 100'050; ++seed)
    {
        auto const plan = draw_scenario(seed, 4);
        for (std::size_t at = 0; at < plan.faults.size(); ++at)
        {
            drawn.insert(plan.faults[at].kind);
            bool const is_overlapping =
                at > 0 && plan.faults[at].at < plan.faults[at - 1].at +
                                                   plan.faults[at - 1].length;
            overlapping += is_overlapping ? 1 : 0;
        }
    }
    cr_expect_eq(drawn.size(), fault_kinds);
    cr_expect_gt(overlapping, 100);
}

Test(scenario, seeds_that_were_kept_stay_what_they_were)
{
    // Symptom: a seed that failed once shows nothing any more. Sequence: a kind
    // of fault is added. Cause: draws that depend on how many kinds there are.
    auto const kept = write_scenario(draw_scenario(17, 4));
    for (std::string const fault :
         {"at: 96ms, kind: link_slow, target: 13, length: 1327ms",
          "at: 9479ms, kind: pause_vm, target: 4, length: 2347ms",
          "at: 14270ms, kind: reuse_address, target: 5, length: 1767ms"})
        cr_expect(kept.find(fault) != std::string::npos, "%s", fault.c_str());
    for (std::uint64_t seed = 1; seed <= 50; ++seed)
    {
        for (fault const& each : draw_scenario(seed, 4).faults)
            cr_expect_lt(each.kind, fault_kind::peers_cut);
    }
    auto const with_peers = write_scenario(draw_scenario(1'002, 4));
    for (std::string const fault :
         {"at: 2519ms, kind: change_settings, target: 18, length: 550ms",
          "at: 6786ms, kind: peers_cut, target: 4, length: 3322ms",
          "at: 11564ms, kind: crash_upstream, target: 16, length: 4226ms"})
        cr_expect(
            with_peers.find(fault) != std::string::npos, "%s", fault.c_str());
    std::set<fault_kind> drawn;
    for (std::uint64_t seed = 1'001; seed <= 1'050; ++seed)
    {
        for (fault const& each : draw_scenario(seed, 4).faults)
            drawn.insert(each.kind);
    }
    cr_expect_eq(drawn.size(), 24);
    cr_expect_eq(*drawn.rbegin(), fault_kind::peers_harmed);
}

Test(scenario, bad_files_are_refused)
{
    thin_path::temporary_folder const folder;
    for (std::string const text :
         {"vms: 0\nlength: 1s\n", "length: soon\n", "vms: [\n", "vms: 2\n",
          "length: 1s\nfaults:\n  - {at: 1s, length: 1s, kind: rain}\n",
          "length: 1s\nfaults:\n  - {length: 1s, kind: kill_vm}\n"})
        cr_expect_throw(
            static_cast<void>(read_scenario(write(folder.path(), text))),
            scenario_rejected, "%s", text.c_str());
}
