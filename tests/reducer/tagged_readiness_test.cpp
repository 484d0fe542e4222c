#include <reducer/reducer.hpp>
#include <registry/registry.hpp>

#include <criterion/criterion.h>

using namespace cairnhead;

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
