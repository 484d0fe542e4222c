#include <reducer/reducer.hpp>
#include <registry/registry.hpp>

#include <criterion/criterion.h>

using namespace cairnhead;
using namespace std::chrono_literals;

namespace
{

/// A reducer of flows with tags, alone, with injected time.
class lone_vm
{
public:
    lone_vm()
    {
        this->apply(started{1'000'000});
    }

    template <typename Body>
    void apply(Body body)
    {
        this->now += tick_period;
        effect_list effects;
        this->decider.apply({this->now, std::move(body)}, effects);
    }

    void fetch(std::string_view name, std::string text)
    {
        this->apply(document_fetched{
            std::nullopt, std::string(name), document_version(1),
            std::move(text)});
    }

    [[nodiscard]] bool is_ready() const
    {
        return this->decider.is_ready();
    }

    /// Applied at that moment.
    template <typename Body>
    effect_list apply_at(time_point moment, Body body)
    {
        this->now = moment;
        effect_list effects;
        this->decider.apply({this->now, std::move(body)}, effects);
        return effects;
    }

    /// When the process started.
    static constexpr time_point start = time_point(1h) + tick_period;

    [[nodiscard]] serving_state state()
    {
        return this->decider.view(this->now).state;
    }

private:
    static reducer_settings make_settings()
    {
        reducer_settings settings;
        settings.self = {vm_id(0x0a010001), failure_domain_id(1)};
        settings.memory = flow_memory::tags;
        return settings;
    }

    time_point now{std::chrono::hours(1)};
    reducer decider{make_settings()};
};

} // namespace

Test(tagged_readiness, a_vm_that_joined_without_the_registry_is_not_ready)
{
    // Symptom: callers are sent to a VM that passes nothing on. Sequence: a VM
    // starts while the store is down; it joins, but the registry's documents
    // cannot be had. Cause: having joined was taken for knowing the registry.
    lone_vm vm;
    vm.apply(platform_listed{platform_index(1), {}, {}});
    for (int ticks = 0; ticks < 100; ++ticks)
        vm.apply(tick{});
    cr_assert(vm.state() == serving_state::serving);
    cr_expect_not(vm.is_ready());

    vm.fetch(route_document_name, encode_listing(route_listing{}));
    cr_expect_not(vm.is_ready());
    vm.fetch(upstream_document_name, encode_listing(upstream_listing{}));
    cr_expect(vm.is_ready());
    vm.apply(leave_requested{});
    cr_expect_not(vm.is_ready());
}

Test(tagged_readiness, with_half_of_the_registry_nothing_is_refused)
{
    // Symptom: callers are told that no upstream may take them, by VMs that
    // start where all were down. Sequence: routes come first, and callers have
    // waited for as long as they may. Cause: a pool of which no upstream is
    // known was taken for one without upstreams.
    lone_vm vm;
    route_listing routes;
    routes.routes.push_back(
        {ipv4_address(0xc6120001),
         443,
         flow_class::form,
         false,
         {{"main", 1}}});
    vm.apply_at(
        lone_vm::start + 100ms,
        document_fetched{
            std::nullopt, std::string(route_document_name), document_version(1),
            encode_listing(routes)});
    packet_arrived opening;
    opening.flow = flow_id(7);
    opening.destination = {
        ipv4_address(0xc6120001), 443, transport_protocol::tcp};
    opening.phase = packet_phase::opening;
    opening.tag = upstream_tag(0);
    auto const effects = vm.apply_at(lone_vm::start + 700ms, opening);
    int drops = 0;
    for (effect const& each : effects)
    {
        cr_expect_not(std::holds_alternative<refuse_opening>(each));
        auto const* const dropped = std::get_if<drop_packet>(&each);
        drops +=
            dropped != nullptr && dropped->reason == drop_reason::not_ready;
    }
    cr_expect_eq(drops, 1);
}
