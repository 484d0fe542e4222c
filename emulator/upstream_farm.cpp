#include <emulator/upstream_farm.hpp>

#include <algorithm>
#include <utility>

namespace cairnhead::emulator
{

namespace
{

using std::chrono_literals::operator""s;
using std::chrono_literals::operator""ms;

/// New flows may still reach an upstream for this long after the registry
/// knows that it drains.
constexpr duration leaving_bound = 3s;

/// An upstream that is registered for longer is known to all VMs.
constexpr duration known_after = 3s;

/// An upstream whose machine is gone is dropped from the registry after this.
constexpr duration lease = 3s;

/// How often drained upstreams are looked at.
constexpr duration look_period = 200ms;

bool serves(published_route const& route, std::string_view pool)
{
    return std::ranges::find(route.pools, pool, &weighted_pool::pool) !=
           route.pools.end();
}

} // namespace

upstream_farm::upstream_farm(
    emulated_fleet& around,
    traffic_meter& counting,
    upstream_shape const& behavior,
    std::uint64_t seed,
    send_answer send)
    : fleet(around), counted(counting), shape(behavior), random(seed),
      answer(std::move(send))
{
    std::uint32_t const count = this->fleet.place().shape().failure_domains;
    for (std::uint32_t domain = 0; domain < count; ++domain)
        this->domains[layout::domain_name(domain)] = domain;
    for (registered_upstream const& each :
         this->fleet.registry().upstreams_now().upstreams)
        this->start(each);
    this->end_drained();
}

void upstream_farm::start(registered_upstream const& registered)
{
    auto const domain = this->domains.at(registered.failure_domain);
    instance_number const instance = registered.instance;
    upstream_effects effects;
    effects.send = [this, domain](upstream_packet const& packet)
    {
        this->answer(packet, domain);
    };
    effects.run = [this, instance](flow_number flow, std::uint32_t request)
    {
        this->note_run(instance, flow, request);
    };
    this->started_at[instance] = this->fleet.now();
    this->upstreams[instance] = std::make_unique<emulated_upstream>(
        registered, this->shape, this->fleet.schedule(), std::move(effects));
}

void upstream_farm::receive(
    instance_number instance,
    caller_packet const& packet,
    published_route const& route)
{
    auto const reached = this->upstreams.find(instance);
    if (reached == this->upstreams.end())
        return;
    if (packet.phase == packet_phase::opening)
        this->check_opening(*reached->second, packet, route);
    reached->second->receive(packet);
}

void upstream_farm::check_opening(
    emulated_upstream const& reached,
    caller_packet const& packet,
    published_route const& route)
{
    registered_upstream const& self = reached.registered();
    std::string const what = "flow " + std::to_string(packet.flow.value()) +
                             " at " + name_of_instance(self.instance);
    if (!serves(route, self.pool))
        this->counted.note_violation(
            this->fleet.now(), traffic_violation::wrong_service, what);
    auto const since = reached.draining_since();
    if (since && this->fleet.now() > *since + leaving_bound)
        this->counted.note_violation(
            this->fleet.now(), traffic_violation::new_at_leaving, what);
}

void upstream_farm::note_run(
    instance_number at, flow_number flow, std::uint32_t request)
{
    constexpr unsigned flow_bits = 32;
    std::uint64_t const key =
        std::uint64_t{flow.value()} << flow_bits | request;
    if (this->executed.insert(key).second)
        return;
    this->counted.note_violation(
        this->fleet.now(), traffic_violation::run_twice,
        "request " + std::to_string(request) + " of flow " +
            std::to_string(flow.value()) + " at " + name_of_instance(at));
}

std::vector<instance_number> upstream_farm::pick_serving(std::uint32_t count)
{
    std::vector<instance_number> serving;
    for (auto const& [instance, each] : this->upstreams)
    {
        if (each->life() == upstream_life::serving && !each->draining_since())
            serving.push_back(instance);
    }
    // The map's order differs between runs.
    std::ranges::sort(serving);
    std::ranges::shuffle(serving, this->random);
    serving.resize(std::min<std::size_t>(serving.size(), count));
    return serving;
}

void upstream_farm::replace_as_planned(
    std::vector<instance_number> const& leaving, bool is_address_used_again)
{
    for (instance_number const instance : leaving)
    {
        this->upstreams.at(instance)->drain(this->fleet.now());
        this->fleet.publish(
            [instance](registry_store& store)
            {
                store.drain(instance);
            });
        this->ending.push_back({instance, is_address_used_again});
    }
}

void upstream_farm::end_drained()
{
    auto const still_draining = std::partition(
        this->ending.begin(), this->ending.end(),
        [this](planned_end const& each)
        {
            emulated_upstream const& leaving =
                *this->upstreams.at(each.instance);
            // New flows may be on their way, so it waits for these too.
            bool const may_get_new =
                this->fleet.now() <= *leaving.draining_since() + leaving_bound;
            return !may_get_new && leaving.flow_count() == 0;
        });
    std::vector<planned_end> const ended(this->ending.begin(), still_draining);
    this->ending.erase(this->ending.begin(), still_draining);
    for (planned_end const& each : ended)
    {
        auto const like = this->upstreams.at(each.instance)->registered();
        this->upstreams.erase(each.instance);
        this->fleet.publish(
            [&](registry_store& store)
            {
                store.remove({&each.instance, 1});
                this->start(
                    store.start_upstream(like, each.is_address_used_again));
            });
    }
    this->fleet.schedule().add(
        this->fleet.now() + look_period,
        [this]
        {
            this->end_drained();
        });
}

void upstream_farm::kill(
    std::vector<instance_number> const& dying,
    upstream_life how,
    duration outage)
{
    for (instance_number const instance : dying)
        this->upstreams.at(instance)->set_life(how);
    this->fleet.schedule().add(
        this->fleet.now() + lease,
        [this, dying, outage]
        {
            for (instance_number const instance : dying)
            {
                auto const like = this->upstreams.at(instance)->registered();
                this->fleet.publish(
                    [&](registry_store& store)
                    {
                        store.remove({&instance, 1});
                        if (outage <= lease)
                            this->start(store.start_upstream(like, false));
                    });
                if (outage > lease)
                    this->start_later(like, outage - lease);
            }
        });
}

void upstream_farm::start_later(registered_upstream const& like, duration delay)
{
    this->fleet.schedule().add(
        this->fleet.now() + delay,
        [this, like]
        {
            this->fleet.publish(
                [&](registry_store& store)
                {
                    this->start(store.start_upstream(like, false));
                });
        });
}

void upstream_farm::fail(
    std::vector<instance_number> const& failing, duration length)
{
    this->change_for(
        failing, length,
        [](emulated_upstream& each, bool is_begin)
        {
            each.set_failing(is_begin);
        });
}

std::optional<quickest_upstream> upstream_farm::find_quickest(
    published_route const& route,
    duration work,
    std::uint32_t domain,
    duration extra_between_domains) const
{
    std::optional<quickest_upstream> best;
    for (auto const& [instance, each] : this->upstreams)
    {
        bool const is_whole = each->life() == upstream_life::serving &&
                              !each->is_failing() && !each->draining_since() &&
                              serves(route, each->registered().pool);
        if (!is_whole)
            continue;
        auto const end = each->predict_end(work);
        if (!end)
            continue;
        bool const is_near = this->domain_of(*each) == domain;
        quickest_upstream const found{
            *end + (is_near ? duration() : extra_between_domains), instance};
        if (!best || found < *best)
            best = found;
    }
    return best;
}

void upstream_farm::expect(instance_number instance, duration work)
{
    this->upstreams.at(instance)->expect(work);
}

void upstream_farm::stall_all(duration length)
{
    for (auto const& [instance, each] : this->upstreams)
        each->stall(this->fleet.now() + length);
}

void upstream_farm::slow_down(
    std::vector<instance_number> const& slow,
    std::uint32_t factor,
    duration length)
{
    this->change_for(
        slow, length,
        [factor](emulated_upstream& each, bool is_begin)
        {
            each.set_slowness(is_begin ? factor : 1);
        });
}

void upstream_farm::change_for(
    std::vector<instance_number> const& changed,
    duration length,
    std::function<void(emulated_upstream&, bool is_begin)> const& change)
{
    auto const apply = [this, changed, change](bool is_begin)
    {
        for (instance_number const instance : changed)
        {
            auto const known = this->upstreams.find(instance);
            if (known != this->upstreams.end())
                change(*known->second, is_begin);
        }
    };
    apply(true);
    this->fleet.schedule().add(
        this->fleet.now() + length,
        [apply]
        {
            apply(false);
        });
}

emulated_upstream const* upstream_farm::find(instance_number instance) const
{
    auto const known = this->upstreams.find(instance);
    return known == this->upstreams.end() ? nullptr : known->second.get();
}

emulated_upstream const*
upstream_farm::find_at(connection_target const& place) const
{
    emulated_upstream const* found = nullptr;
    for (auto const& [instance, each] : this->upstreams)
    {
        bool const is_there = each->registered().address == place.address &&
                              each->registered().port == place.port;
        // An address that is used again has its latest upstream.
        bool const is_later =
            found == nullptr ||
            this->started_at.at(instance) >
                this->started_at.at(found->registered().instance);
        if (is_there && is_later)
            found = each.get();
    }
    return found;
}

std::uint32_t upstream_farm::domain_of(emulated_upstream const& upstream) const
{
    return this->domains.at(upstream.registered().failure_domain);
}

std::set<std::uint32_t>
upstream_farm::domains_for(published_route const& route) const
{
    std::set<std::uint32_t> found;
    for (auto const& [instance, each] : this->upstreams)
    {
        bool const is_known =
            this->fleet.now() > this->started_at.at(instance) + known_after;
        bool const takes_flows =
            is_known && each->life() == upstream_life::serving &&
            !each->draining_since() && serves(route, each->registered().pool);
        if (takes_flows)
            found.insert(this->domain_of(*each));
    }
    return found;
}

double upstream_farm::imbalance() const
{
    double most = 0;
    double sum = 0;
    for (auto const& [instance, each] : this->upstreams)
    {
        auto const runs = static_cast<double>(each->runs());
        most = std::max(most, runs);
        sum += runs;
    }
    return sum == 0 ? 0
                    : most * static_cast<double>(this->upstreams.size()) / sum;
}

} // namespace cairnhead::emulator
