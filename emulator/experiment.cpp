#include <emulator/experiment.hpp>

#include <settings/duration_text.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>
#include <yaml-cpp/yaml.h>

namespace cairnhead::emulator
{

namespace
{

constexpr std::array<std::pair<std::string_view, step_kind>, 9> step_names{{
    {"replace_upstreams", step_kind::replace_upstreams},
    {"change_route", step_kind::change_route},
    {"add_routes", step_kind::add_routes},
    {"restart_vms", step_kind::restart_vms},
    {"restart_rack", step_kind::restart_rack},
    {"restart_all", step_kind::restart_all},
    {"cut_domain", step_kind::cut_domain},
    {"cut_region", step_kind::cut_region},
    {"platform_down", step_kind::platform_down},
}};

/// Reads one file; each failure names its place.
class experiment_reader
{
public:
    explicit experiment_reader(std::filesystem::path const& source)
        : file(source)
    {
    }

    experiment read()
    {
        YAML::Node const root = YAML::LoadFile(this->file.string());
        experiment plan;
        plan.name = this->file.stem().string();
        this->read_into(root, "vms", plan.vms);
        this->read_into(root, "upstreams_per_vm", plan.upstreams_per_vm);
        this->read_into(root, "addresses_per_vm", plan.addresses_per_vm);
        this->read_into(root, "seed", plan.seed);
        this->read_duration(root, "settle", plan.settle);
        this->read_duration(root, "length", plan.length);
        this->read_fleet(root["fleet"], plan.fleet);
        for (YAML::Node const& step : root["steps"])
            plan.steps.push_back(this->read_step(step));
        if (plan.vms.empty())
            this->reject(root, "no sizes of fleets under vms");
        return plan;
    }

private:
    [[noreturn]] void
    reject(YAML::Node const& where, std::string_view reason) const
    {
        throw experiment_rejected(this->file, where.Mark().line + 1, reason);
    }

    template <typename Value>
    void read_into(YAML::Node const& from, char const* key, Value& target)
    {
        if (!from.IsDefined() || !from[key].IsDefined())
            return;
        try
        {
            target = from[key].as<Value>();
        }
        catch (YAML::Exception const&)
        {
            this->reject(from[key], "not a value of the right kind");
        }
    }

    void
    read_duration(YAML::Node const& from, char const* key, duration& target)
    {
        std::string text;
        this->read_into(from, key, text);
        if (text.empty())
            return;
        auto const read = parse_duration(text);
        if (!std::holds_alternative<duration>(read))
            this->reject(from[key], "no duration such as 500ms or 2s");
        target = std::get<duration>(read);
    }

    void read_fleet(YAML::Node const& from, topology& target)
    {
        this->read_into(from, "failure_domains", target.failure_domains);
        this->read_into(from, "regions", target.regions);
        this->read_into(from, "link_megabits", target.link_megabits);
        this->read_into(from, "lost_permille", target.lost_permille);
        this->read_duration(
            from, "delay_within_domain", target.delay_within_domain);
        this->read_duration(
            from, "delay_between_domains", target.delay_between_domains);
        this->read_duration(
            from, "delay_between_regions", target.delay_between_regions);
        if (target.failure_domains == 0 || target.regions == 0 ||
            target.link_megabits == 0)
            this->reject(from, "a fleet without domains, regions or links");
    }

    experiment_step read_step(YAML::Node const& from)
    {
        experiment_step step;
        std::string kind;
        this->read_into(from, "kind", kind);
        auto const known = std::ranges::find(
            step_names, kind,
            [](auto const& entry)
            {
                return entry.first;
            });
        if (known == step_names.end())
            this->reject(from, "a step of an unknown kind");
        step.kind = known->second;
        this->read_into(from, "count", step.count);
        this->read_duration(from, "at", step.at);
        this->read_duration(from, "every", step.every);
        this->read_duration(from, "lasts", step.lasts);
        return step;
    }

    std::filesystem::path file;
};

} // namespace

experiment_rejected::experiment_rejected(
    std::filesystem::path const& file, int line, std::string_view reason)
    : text(
          file.string() + ":" + std::to_string(line) + ": " +
          std::string(reason))
{
}

char const* experiment_rejected::what() const noexcept
{
    return this->text.c_str();
}

experiment read_experiment(std::filesystem::path const& file)
{
    try
    {
        return experiment_reader(file).read();
    }
    catch (YAML::Exception const& failure)
    {
        throw experiment_rejected(file, failure.mark.line + 1, failure.msg);
    }
}

topology topology_at(experiment const& plan, std::uint32_t vms)
{
    topology shape = plan.fleet;
    shape.vms = vms;
    auto const scaled = [vms](double each)
    {
        return std::max(
            std::uint32_t{1}, static_cast<std::uint32_t>(each * vms));
    };
    shape.upstreams = scaled(plan.upstreams_per_vm);
    shape.addresses = scaled(plan.addresses_per_vm);
    return shape;
}

} // namespace cairnhead::emulator
