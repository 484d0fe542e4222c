#pragma once

#include <rating/rating_exchange.hpp>
#include <rating/rating_table.hpp>

#include <emulator/agenda.hpp>
#include <wire/codec.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <variant>
#include <vector>

/// The VMs of one failure domain that exchange ratings, in one process. Time
/// is injected and all chance is seeded.
namespace cairnhead::rating_test
{

using namespace std::chrono_literals;

inline constexpr failure_domain_id own_domain(7);
inline constexpr failure_domain_id other_domain(8);

/// How an upstream of the fixture performs.
struct emulated_upstream
{
    failure_domain_id domain = own_domain;
    std::uint16_t relative_permille = 1000;
    /// Of its answers, per thousand.
    std::uint32_t short_permille = 0;
    incarnation life{1};
    bool gets_requests = true;
};

struct fleet_size
{
    std::size_t vms = 40;
    std::size_t upstreams = 40;
    /// Of each VM, in a second.
    std::size_t requests = 10;
};

class exchange_fleet
{
public:
    static constexpr duration tick = 100ms;
    static constexpr std::uint32_t slots = 2;
    static constexpr std::uint32_t usual_milliseconds = 50;

    explicit exchange_fleet(fleet_size const& chosen)
        : size(chosen), upstreams(chosen.upstreams)
    {
        std::vector<std::size_t> all;
        for (std::size_t index = 0; index < chosen.vms; ++index)
        {
            vm_identity const own{id_of(index), own_domain};
            this->vms.push_back(std::make_unique<node>(own, index));
            all.push_back(index);
        }
        this->set_members(all, all);
        for (std::size_t index = 0; index < chosen.vms; ++index)
            this->schedule_tick(index, index * 7919us % tick);
    }

    /// Lets these VMs see exactly those members.
    void set_members(
        std::vector<std::size_t> const& viewers,
        std::vector<std::size_t> const& members)
    {
        for (std::size_t const index : viewers)
            this->vms[index]->exchange.set_vms(ids_of(members));
    }

    void run_for(duration length)
    {
        this->time.run_for(length);
    }

    [[nodiscard]] std::optional<upstream_rating>
    rating_at(std::size_t vm, std::size_t upstream) const
    {
        return this->vms[vm]->ratings.find(
            this->time.now(), tag_number(upstream));
    }

    /// How many of the VMs hold a rating by which the upstream is slow or
    /// ejected.
    [[nodiscard]] std::size_t count_rated(
        std::vector<std::size_t> const& among, std::size_t upstream) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            among,
            [&](std::size_t vm)
            {
                auto const held = this->rating_at(vm, upstream);
                return held &&
                       (held->is_ejected || held->relative_permille > 1500);
            }));
    }

    [[nodiscard]] std::size_t count_rated(std::size_t upstream) const
    {
        return this->count_rated(this->range(0, this->size.vms), upstream);
    }

    [[nodiscard]] std::vector<std::size_t>
    range(std::size_t begin, std::size_t end) const
    {
        std::vector<std::size_t> indices;
        for (std::size_t index = begin; index < end; ++index)
            indices.push_back(index);
        return indices;
    }

    [[nodiscard]] std::size_t collector_of(
        std::size_t upstream, std::vector<std::size_t> const& members) const
    {
        domain_ranking ranking(own_domain);
        ranking.set_vms(ids_of(members));
        return ranking.collector_of(instance_of(upstream))->value() - 1;
    }

    [[nodiscard]] rating_exchange& exchange_of(std::size_t vm)
    {
        return this->vms[vm]->exchange;
    }

    static upstream_tag tag_number(std::size_t upstream)
    {
        return tag_of(instance_of(upstream));
    }

    static instance_number instance_of(std::size_t upstream)
    {
        return instance_number(1000 + upstream);
    }

    static std::vector<vm_id> ids_of(std::vector<std::size_t> const& indices)
    {
        std::vector<vm_id> ids(indices.size());
        std::ranges::transform(indices, ids.begin(), id_of);
        return ids;
    }

    static vm_id id_of(std::size_t vm)
    {
        return vm_id(static_cast<std::uint32_t>(vm + 1));
    }

    [[nodiscard]] std::optional<rated_upstream> find(upstream_tag tag) const
    {
        std::size_t const index = tag.value() - 1000;
        if (index >= this->upstreams.size())
            return std::nullopt;
        emulated_upstream const& known = this->upstreams[index];
        return rated_upstream{
            tag, instance_of(index), known.life, known.domain, slots, "main"};
    }

    struct node
    {
        node(vm_identity const& own, std::size_t seed)
            : exchange(own, 4, seed), random(seed)
        {
        }

        rating_exchange exchange;
        rating_table ratings;
        std::mt19937_64 random;
        /// What arrived while it was frozen, in its socket.
        std::vector<control_body> queued;
        std::size_t bytes_sent = 0;
        std::size_t bytes_received = 0;
        std::size_t observation_messages = 0;
        std::size_t rating_messages = 0;
    };

    fleet_size size;
    std::vector<emulated_upstream> upstreams;
    std::vector<std::unique_ptr<node>> vms;
    std::set<std::size_t> dead;
    std::set<std::size_t> frozen;
    /// VMs from here on cannot reach those before; zero cuts nothing.
    std::size_t cut_at = 0;
    std::uint32_t lost_permille = 0;
    emulator::agenda time{time_point(1h)};

    void thaw(std::size_t vm)
    {
        this->frozen.erase(vm);
        node& woken = *this->vms[vm];
        woken.exchange.record_event(this->time.now());
        for (control_body const& body : std::exchange(woken.queued, {}))
            this->deliver(vm, body);
    }

private:
    /// Key, kind and authentication of a datagram.
    static constexpr std::size_t envelope_bytes = 18;

    void schedule_tick(std::size_t vm, duration in)
    {
        this->time.add(
            this->time.now() + in,
            [this, vm]
            {
                this->schedule_tick(vm, tick);
                if (!this->dead.contains(vm) && !this->frozen.contains(vm))
                    this->handle_tick(vm);
            });
    }

    void handle_tick(std::size_t vm)
    {
        node& own = *this->vms[vm];
        time_point const now = this->time.now();
        own.exchange.record_event(now);
        auto const lookup = [this](upstream_tag tag)
        {
            return this->find(tag);
        };
        own.exchange.observe(now, this->make_requests(own), lookup);
        effect_list effects;
        auto const outcome = own.exchange.advance(now, lookup, effects);
        for (upstream_rating const& each : outcome.ratings)
            own.ratings.apply(now, each);
        this->send(vm, effects);
    }

    std::vector<request_observation> make_requests(node& own)
    {
        std::vector<request_observation> seen;
        std::poisson_distribution<std::size_t> count(
            static_cast<double>(this->size.requests) / 10);
        std::size_t const requests = count(own.random);
        for (std::size_t made = 0; made < requests; ++made)
        {
            std::size_t const index = own.random() % this->upstreams.size();
            emulated_upstream const& used = this->upstreams[index];
            if (!used.gets_requests)
                continue;
            bool const is_short = own.random() % 1000 < used.short_permille;
            std::uint16_t const relative =
                is_short ? 100 : used.relative_permille;
            seen.push_back(
                {tag_number(index),
                 is_short ? request_outcome::short_answer
                          : request_outcome::answered,
                 relative, usual_milliseconds * relative / 1000});
        }
        return seen;
    }

    void send(std::size_t from, effect_list const& effects)
    {
        for (effect const& each : effects)
        {
            auto const& message = std::get<send_control>(each);
            std::size_t const to = message.target.value() - 1;
            std::vector<std::uint8_t> bytes;
            encode_control({id_of(from), message.body}, bytes);
            node& sender = *this->vms[from];
            sender.bytes_sent += bytes.size() + envelope_bytes;
            if (std::holds_alternative<upstream_observation_listing>(
                    message.body))
                ++sender.observation_messages;
            else
                ++sender.rating_messages;
            bool const is_cut = (from < this->cut_at) != (to < this->cut_at);
            if (is_cut || sender.random() % 1000 < this->lost_permille)
                continue;
            this->time.add(
                this->time.now() + 200us,
                [this, to, size = bytes.size(),
                 body = decode_control(bytes).body]
                {
                    if (this->dead.contains(to))
                        return;
                    this->vms[to]->bytes_received += size + envelope_bytes;
                    if (this->frozen.contains(to))
                        this->vms[to]->queued.push_back(body);
                    else
                        this->deliver(to, body);
                });
        }
    }

    void deliver(std::size_t vm, control_body const& body)
    {
        node& own = *this->vms[vm];
        time_point const now = this->time.now();
        own.exchange.record_event(now);
        if (auto const* seen = std::get_if<upstream_observation_listing>(&body))
            return own.exchange.receive(
                now, *seen,
                [this](upstream_tag tag)
                {
                    return this->find(tag);
                });
        effect_list effects;
        auto const& told = std::get<upstream_rating_listing>(body);
        for (upstream_rating const& each :
             own.exchange.receive(now, told, effects))
            own.ratings.apply(now, each);
        this->send(vm, effects);
    }
};

} // namespace cairnhead::rating_test
