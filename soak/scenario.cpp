#include <soak/scenario.hpp>

#include <settings/duration_text.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <random>
#include <sstream>
#include <variant>
#include <yaml-cpp/yaml.h>

namespace cairnhead::soak
{

namespace
{

using std::chrono_literals::operator""ms;

constexpr std::array<std::string_view, fault_kinds> names{
    "kill_vm",         "stop_vm",          "pause_vm",      "reload_settings",
    "change_settings", "store_down",       "store_slow",    "store_forgets",
    "link_silent",     "link_reset",       "link_one_way",  "link_slow",
    "packets_lost",    "packets_doubled",  "packets_late",  "drain_upstream",
    "crash_upstream",  "lose_upstream",    "reuse_address", "slow_upstream",
    "change_routes",   "peers_cut",        "peers_one_way", "peers_harmed",
    "slow_upstreams",  "failing_upstreams"};

/// The kinds of fault that scenarios of a seed have: the first so many.
std::uint32_t kinds_of(std::uint64_t seed)
{
    constexpr std::uint32_t without_peers = 21;
    constexpr std::uint32_t without_many_upstreams = 24;
    if (seed < first_seed_of_peer_kinds)
        return without_peers;
    return seed < first_seed_of_upstream_kinds ? without_many_upstreams
                                               : fault_kinds;
}

/// As settings call it.
constexpr std::string_view answer_times_name = "answer_times";

constexpr duration shortest_fault = 300ms;
constexpr duration longest_fault = 5000ms;
/// Between the faults of a series, which therefore overlap.
constexpr duration longest_gap = 400ms;
constexpr std::uint32_t fewest_series = 4;
constexpr std::uint32_t most_series = 8;
constexpr std::uint32_t longest_series = 4;

std::int64_t in_milliseconds(duration length)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(length)
        .count();
}

class scenario_draw
{
public:
    explicit scenario_draw(std::uint64_t seed)
        : random(seed), kinds(kinds_of(seed))
    {
    }

    duration between(duration least, duration most)
    {
        return std::chrono::milliseconds(
            in_milliseconds(least) +
            static_cast<std::int64_t>(
                this->random() %
                static_cast<std::uint64_t>(in_milliseconds(most - least) + 1)));
    }

    std::uint32_t up_to(std::uint32_t most)
    {
        return static_cast<std::uint32_t>(this->random() % (most + 1));
    }

    /// A few faults of one kind, or of any, one soon after the other.
    void add_series(scenario& plan)
    {
        bool const is_of_one_kind = this->up_to(1) == 0;
        fault next;
        next.kind = this->any_kind();
        next.at = this->between(duration(0), plan.length);
        for (auto left = this->up_to(longest_series - 1) + 1; left > 0; --left)
        {
            if (!is_of_one_kind)
                next.kind = this->any_kind();
            next.target = this->up_to(plan.vms * plan.upstreams - 1);
            next.length = this->between(shortest_fault, longest_fault);
            plan.faults.push_back(next);
            next.at += this->between(duration(0), longest_gap);
        }
    }

private:
    fault_kind any_kind()
    {
        return static_cast<fault_kind>(this->up_to(this->kinds - 1));
    }

    std::mt19937_64 random;
    std::uint32_t kinds;
};

[[noreturn]] void
reject(std::filesystem::path const& file, int line, std::string const& reason)
{
    throw scenario_rejected(
        file.string() + ":" + std::to_string(line + 1) + ": " + reason);
}

duration read_duration(
    std::filesystem::path const& file, YAML::Node const& from, char const* key)
{
    YAML::Node const value = from[key];
    if (!value.IsDefined())
        reject(file, from.Mark().line, std::string("no ") + key);
    auto const read = parse_duration(value.as<std::string>());
    if (!std::holds_alternative<duration>(read))
        reject(file, value.Mark().line, "no duration such as 500ms or 2s");
    return std::get<duration>(read);
}

fault read_fault(std::filesystem::path const& file, YAML::Node const& from)
{
    fault read;
    read.at = read_duration(file, from, "at");
    read.length = read_duration(file, from, "length");
    read.target = from["target"].as<std::uint32_t>(0);
    auto const kind = from["kind"].as<std::string>("");
    auto const* const known = std::ranges::find(names, kind);
    if (known == names.end())
        reject(file, from.Mark().line, "no kind of fault: " + kind);
    read.kind = static_cast<fault_kind>(known - names.begin());
    return read;
}

} // namespace

std::string_view to_text(fault_kind kind)
{
    return names.at(static_cast<std::size_t>(kind));
}

scenario draw_scenario(std::uint64_t seed, std::uint32_t vms)
{
    scenario plan;
    plan.seed = seed;
    plan.vms = vms;
    plan.upstreams = 2 * vms;
    plan.callers = 10 * vms;
    if (seed >= first_seed_of_upstream_kinds)
        plan.placement = placement_rule::answer_times;
    scenario_draw draw(seed);
    auto const series = fewest_series + draw.up_to(most_series - fewest_series);
    for (std::uint32_t count = 0; count < series; ++count)
        draw.add_series(plan);
    std::ranges::stable_sort(plan.faults, {}, &fault::at);
    return plan;
}

std::string write_scenario(scenario const& plan)
{
    std::ostringstream text;
    text << "seed: " << plan.seed << "\nvms: " << plan.vms
         << "\nupstreams: " << plan.upstreams << "\ncallers: " << plan.callers
         << "\nlength: " << in_milliseconds(plan.length) << "ms\n";
    if (plan.placement == placement_rule::answer_times)
        text << "placement: " << answer_times_name << '\n';
    text << "faults:\n";
    for (fault const& each : plan.faults)
        text << "  - {at: " << in_milliseconds(each.at)
             << "ms, kind: " << to_text(each.kind)
             << ", target: " << each.target
             << ", length: " << in_milliseconds(each.length) << "ms}\n";
    return text.str();
}

scenario read_scenario(std::filesystem::path const& file)
{
    try
    {
        YAML::Node const root = YAML::LoadFile(file.string());
        scenario plan;
        plan.seed = root["seed"].as<std::uint64_t>(plan.seed);
        plan.vms = root["vms"].as<std::uint32_t>(plan.vms);
        plan.upstreams = root["upstreams"].as<std::uint32_t>(plan.upstreams);
        plan.callers = root["callers"].as<std::uint32_t>(plan.callers);
        plan.length = read_duration(file, root, "length");
        if (root["placement"].as<std::string>("") == answer_times_name)
            plan.placement = placement_rule::answer_times;
        for (YAML::Node const& each : root["faults"])
            plan.faults.push_back(read_fault(file, each));
        if (plan.vms == 0 || plan.upstreams < 2)
            reject(file, 0, "no VMs, or fewer than two upstreams");
        return plan;
    }
    catch (YAML::Exception const& failure)
    {
        reject(file, failure.mark.line, failure.msg);
    }
}

} // namespace cairnhead::soak
