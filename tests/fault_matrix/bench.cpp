#include <fault_matrix/bench.hpp>

#include <base/hash.hpp>

#include <algorithm>
#include <iterator>

namespace cairnhead::test
{

namespace
{

constexpr std::uint32_t maximum_pins = 1'000;
std::vector<std::string> const domain_names = {"stirling", "perth"};

bool is_packet(effect const& item)
{
    return std::holds_alternative<send_to_peer>(item) ||
           std::holds_alternative<send_to_upstream>(item);
}

} // namespace

bench::bench() : checks(maximum_pins), vms(this->make_settings())
{
}

void bench::start()
{
    this->vms.start();
}

void bench::open_flows()
{
    for (std::size_t opened = 0; opened < flow_count; ++opened)
        this->vms.open(this->declared.address());
}

void bench::run_for(duration length)
{
    this->vms.run_for(length);
}

void bench::talk(duration length)
{
    constexpr duration period = 5s;
    time_point const end = this->vms.now() + length;
    while (this->vms.now() < end)
    {
        duration const rest = std::min(period, end - this->vms.now());
        this->vms.let_all_send(rest);
        this->vms.run_for(rest);
    }
}

void bench::publish(sample_declarations const& changed)
{
    this->vms.publish(
        "organisations/" + changed.organisation, changed.organisation_text());
}

vm_id bench::vm(std::size_t number)
{
    return vm_id((127U << 24 | 1U << 8) + static_cast<std::uint32_t>(number));
}

failure_domain_id bench::domain(std::size_t position)
{
    return make_failure_domain_id(domain_names[position]);
}

void bench::apply(
    vm_id vm, reducer& decides, event const& happened, effect_list& effects)
{
    event bent = happened;
    this->bend(vm, bent);
    this->checks.apply(vm, decides, bent, effects);
    auto const* const packet = std::get_if<packet_arrived>(&bent.body);
    bool const is_from_fabric = packet != nullptr && !packet->frame;
    if (is_from_fabric && this->happens(this->wrong.duplicated_permille))
        this->checks.apply(vm, decides, bent, effects);
    this->bend(vm, effects);
}

void bench::bend(vm_id vm, event& happened) const
{
    if (auto* const probed = std::get_if<upstream_probed>(&happened.body))
    {
        auto const found = this->wrong.reports.find(probed->report.upstream);
        if (found != this->wrong.reports.end())
            probed->report = found->second;
        return;
    }
    if (auto* const listed = std::get_if<platform_listed>(&happened.body))
    {
        std::erase_if(
            listed->vms,
            [this](vm_id listed_vm)
            {
                return this->wrong.unlisted.contains(listed_vm);
            });
        if (this->wrong.without_platform.contains(vm))
            happened.body = platform_failed{};
        return;
    }
    auto const* const fetched = std::get_if<document_fetched>(&happened.body);
    if (fetched == nullptr)
        return;
    bool const is_withheld =
        this->wrong.without_documents.contains(vm) ||
        (!fetched->source && this->wrong.without_platform.contains(vm));
    if (is_withheld)
        happened.body = document_fetch_failed{fetched->source, fetched->name};
}

void bench::bend(vm_id vm, effect_list& effects)
{
    std::erase_if(
        effects,
        [this](effect const& item)
        {
            return std::holds_alternative<send_to_peer>(item) &&
                   this->happens(this->wrong.lost_permille);
        });
    effect_list& held = this->delayed[vm];
    effect_list leaving;
    effect_list late;
    for (effect const& item : effects)
    {
        bool const is_late =
            is_packet(item) && this->happens(this->wrong.delayed_permille);
        (is_late ? late : leaving).push_back(item);
    }
    std::ranges::move(held, std::back_inserter(leaving));
    held = std::move(late);
    effects = std::move(leaving);
}

bool bench::happens(std::uint32_t permille)
{
    return permille > 0 && this->random() % 1'000 < permille;
}

fleet_settings bench::make_settings()
{
    this->declared.domains = domain_names;
    this->declared.health_port = 9'000;
    fleet_settings made =
        sample_fleet(vm_count, domain_names, {this->declared});
    made.reducer.pins.maximum_pins = maximum_pins;
    made.apply_event = [this](
                           vm_id vm, reducer& decides, event const& happened,
                           effect_list& effects)
    {
        this->apply(vm, decides, happened, effects);
    };
    return made;
}

} // namespace cairnhead::test
