#include <base/hash.hpp>
#include <reducer/reducer.hpp>
#include <registry/registry.hpp>

#include <algorithm>
#include <criterion/criterion.h>
#include <string>

using namespace cairnhead;
using namespace std::chrono_literals;

namespace
{

constexpr vm_id own_id(0x0a010001);
constexpr vm_id peer(0x0a010002);
constexpr instance_number rated(77);

/// A reducer that has joined, with one peer and one upstream.
class joined_vm
{
public:
    joined_vm(placement_rule rule, char const* peer_domain = "perth")
        : decider(make_settings(rule))
    {
        this->apply(started{1'000'000});
        document_version const first(1);
        this->apply(platform_listed{
            platform_index(1),
            {{std::string(route_document_name), first},
             {std::string(upstream_document_name), first},
             {std::string(evacuation_document_name), first}},
            {}});
        upstream_listing upstreams;
        upstreams.upstreams.push_back(
            {.instance = rated,
             .address = ipv4_address(0x0a020001),
             .port = 8080,
             .slots = 2,
             .pool = "main",
             .failure_domain = "perth"});
        this->fetch(route_document_name, encode_listing(route_listing{}));
        this->fetch(upstream_document_name, encode_listing(upstreams));
        this->fetch(
            evacuation_document_name, encode_listing(evacuation_listing{}));
        for (int ticks = 0; ticks < 100; ++ticks)
            this->apply(tick{});
        member_update const known{
            .vm = peer,
            .domain = make_failure_domain_id(peer_domain),
            .life = incarnation(5),
            .status = member_status::alive};
        this->hear(member_listing{listing_kind::answer, {known}});
        this->apply(tick{});
    }

    template <typename Body>
    void apply(Body body)
    {
        this->now += tick_period;
        this->decider.apply({this->now, std::move(body)}, this->effects);
    }

    void hear(control_body body)
    {
        this->apply(control_arrived{{peer, std::move(body)}});
    }

    [[nodiscard]] std::size_t ratings() const
    {
        return this->decider.gauges(this->now).ratings_in_force;
    }

    /// Messages about ratings that it sent.
    [[nodiscard]] std::size_t sent() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            this->effects,
            [](effect const& each)
            {
                auto const* const message = std::get_if<send_control>(&each);
                return message != nullptr &&
                       (std::holds_alternative<upstream_observation_listing>(
                            message->body) ||
                        std::holds_alternative<upstream_rating_listing>(
                            message->body));
            }));
    }

    [[nodiscard]] reducer_view view() const
    {
        return this->decider.view(this->now);
    }

private:
    static reducer_settings make_settings(placement_rule rule)
    {
        reducer_settings settings;
        settings.self = {own_id, make_failure_domain_id("perth")};
        settings.memory = flow_memory::tags;
        settings.membership.scope = member_scope::failure_domain;
        settings.tagging.placement = rule;
        return settings;
    }

    void fetch(std::string_view name, std::string text)
    {
        this->apply(document_fetched{
            std::nullopt, std::string(name), document_version(1),
            std::move(text)});
    }

    time_point now{std::chrono::hours(1)};
    effect_list effects;
    reducer decider;
};

upstream_observation_listing slow_requests()
{
    upstream_observation_listing listing;
    listing.observations.assign(
        10, {tag_of(rated), request_outcome::answered, 5000, 250});
    return listing;
}

upstream_rating_listing rating_of_peer()
{
    return {
        peer,
        1,
        {{.upstream = tag_of(rated),
          .relative_permille = 5000,
          .lifetime_milliseconds = 3000}}};
}

} // namespace

Test(rating_messages, observations_of_a_peer_become_a_rating)
{
    // Guards against an upstream whose slowness no VM acts on.
    joined_vm vm(placement_rule::answer_times);
    cr_expect_eq(vm.ratings(), 0);
    vm.hear(slow_requests());
    vm.apply(tick{});
    cr_assert_eq(vm.ratings(), 1);
    auto const shown = vm.view().upstreams;
    cr_assert_eq(shown.size(), 1);
    cr_assert(shown[0].belief && shown[0].belief->rating);
    cr_expect_gt(shown[0].belief->rating->relative_permille, 2000);
    for (int ticks = 0; ticks < 10; ++ticks)
        vm.apply(tick{});
    cr_expect_gt(vm.sent(), 0);
}

Test(rating_messages, a_rating_of_a_peer_is_in_force_for_its_lifetime)
{
    // Guards against ratings that outlive their collector.
    joined_vm vm(placement_rule::answer_times);
    vm.hear(rating_of_peer());
    cr_expect_eq(vm.ratings(), 1);
    for (int ticks = 0; ticks < 30; ++ticks)
        vm.apply(tick{});
    cr_expect_eq(vm.ratings(), 0);
}

Test(rating_messages, are_ignored_where_placement_is_by_flows)
{
    // Guards against a VM whose behavior changes by what VMs with another
    // setting send to it.
    joined_vm vm(placement_rule::flows);
    vm.hear(slow_requests());
    vm.hear(rating_of_peer());
    for (int ticks = 0; ticks < 20; ++ticks)
        vm.apply(tick{});
    cr_expect_eq(vm.ratings(), 0);
    cr_expect_eq(vm.sent(), 0);
}

Test(rating_messages, of_another_failure_domain_are_ignored)
{
    // Guards against ratings by VMs to which other paths lead.
    joined_vm vm(placement_rule::answer_times, "derby");
    vm.hear(slow_requests());
    vm.hear(rating_of_peer());
    vm.apply(tick{});
    cr_expect_eq(vm.ratings(), 0);
}
