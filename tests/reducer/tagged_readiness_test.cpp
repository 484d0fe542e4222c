#include <event/start_timeline.hpp>
#include <event/stop_timeline.hpp>
#include <reducer/reducer.hpp>
#include <registry/registry.hpp>

#include <algorithm>
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

    /// A peer answers, and the registry is fetched from it.
    void learn_registry(time_point moment)
    {
        auto const routes = encode_listing(route_listing{});
        auto const upstreams = encode_listing(upstream_listing{});
        document_version const first(1);
        platform_listed listed{
            platform_index(1),
            {{std::string(route_document_name), first},
             {std::string(upstream_document_name), first},
             {std::string(evacuation_document_name), first}},
            {}};
        this->apply_at(moment, std::move(listed));
        this->apply_at(
            moment,
            document_fetched{
                std::nullopt, std::string(route_document_name), first, routes});
        this->apply_at(
            moment, document_fetched{
                        std::nullopt, std::string(upstream_document_name),
                        first, upstreams});
        this->apply_at(
            moment, document_fetched{
                        std::nullopt, std::string(evacuation_document_name),
                        first, encode_listing(evacuation_listing{})});
    }

    [[nodiscard]] static bool has_ended(effect_list const& effects)
    {
        return std::ranges::any_of(
            effects,
            [](effect const& each)
            {
                return std::holds_alternative<leave_complete>(each);
            });
    }

    /// After this a VM that was told to stop is killed.
    static constexpr auto stop_grace = 6s;

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
        settings.handover.stop_grace = stop_grace;
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
    cr_expect_not(vm.is_ready());
    vm.fetch(evacuation_document_name, encode_listing(evacuation_listing{}));
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

// Symptom: requests on open flows time out after a loss of power of all VMs.
// Sequence: the upstreams come first, the routes .4 s later, and packets of
// open flows wait meanwhile. Cause: the whole registry was awaited for packets
// whose tags already name their upstreams.
Test(tagged_readiness, upstreams_alone_serve_open_flows)
{
    lone_vm vm;
    registered_upstream upstream;
    upstream.instance = instance_number(5);
    upstream.pool = "main";
    upstream.address = ipv4_address(0x0a020005);
    upstream.port = 9000;
    upstream_listing listed;
    listed.upstreams.push_back(upstream);
    time_point const moment = lone_vm::start + 100ms;
    vm.apply_at(
        moment, document_fetched{
                    std::nullopt, std::string(upstream_document_name),
                    document_version(1), encode_listing(listed)});
    cr_expect_not(vm.is_ready());
    packet_arrived packet;
    packet.flow = flow_id(7);
    packet.tag = tag_of(upstream.instance);
    auto const decided = vm.apply_at(moment, packet);
    cr_expect(std::ranges::any_of(
        decided,
        [](effect const& each)
        {
            return std::holds_alternative<send_tagged>(each);
        }));
    // No flow may be reset because its upstream is not known here, and no
    // opening refused.
    packet.flow = flow_id(8);
    packet.tag = tag_of(instance_number(6));
    packet_arrived opening = packet;
    opening.flow = flow_id(9);
    opening.phase = packet_phase::opening;
    opening.tag = upstream_tag();
    for (auto const& each : {packet, opening})
    {
        auto const effects = vm.apply_at(moment, each);
        cr_assert_not(effects.empty());
        cr_expect(std::holds_alternative<drop_packet>(effects.front()));
        for (effect const& other : effects)
        {
            cr_expect_not(std::holds_alternative<refuse_opening>(other));
            cr_expect_not(std::holds_alternative<reset_known_flow>(other));
        }
    }
}

// Symptom: packets of callers are lost at a planned stop. Sequence: a VM starts
// while the platform is down and learns the registry late; it is ready, and is
// told to stop before it has joined its peers. Cause: a VM that no peer knows
// was taken for one that no caller is sent to, and ended at once.
Test(tagged_readiness, a_vm_that_stops_before_it_joined_passes_packets_on)
{
    lone_vm vm;
    time_point const informed = lone_vm::start + 5s;
    vm.learn_registry(informed);
    cr_assert(vm.is_ready());
    cr_assert(vm.state() == serving_state::joining);
    auto const told = vm.apply_at(informed, leave_requested{});
    cr_expect_not(lone_vm::has_ended(told));
    cr_expect_not(vm.is_ready());
    time_point ended = informed;
    while (!lone_vm::has_ended(vm.apply_at(ended, tick{})))
    {
        ended += tick_period;
        cr_assert(ended < informed + lone_vm::stop_grace, "is killed");
    }
    cr_expect(ended >= informed + readiness_notice, "is still in use");
}

// Symptom: callers wait although a VM is stopped that none was sent to.
Test(tagged_readiness, a_vm_that_knows_nothing_ends_at_once)
{
    lone_vm vm;
    cr_expect(lone_vm::has_ended(
        vm.apply_at(lone_vm::start + 1s, leave_requested{})));
}

// Symptom: a VM is unknown to its peers for minutes though it passes packets,
// and misses their changes. Sequence: the platform is down for long as it
// starts. Cause: the time that it leaves to waiting callers grew without bound.
Test(tagged_readiness, a_vm_that_learned_the_registry_late_joins_soon)
{
    lone_vm vm;
    time_point const informed = lone_vm::start + 60s;
    vm.learn_registry(informed);
    cr_expect(vm.state() == serving_state::joining);
    vm.apply_at(informed + longest_start, tick{});
    cr_expect(vm.state() == serving_state::serving);
}
