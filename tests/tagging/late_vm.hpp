#pragma once

#include "router_fixture.hpp"

#include <tagging/connection_check.hpp>

#include <algorithm>
#include <emulator/agenda.hpp>
#include <functional>
#include <map>
#include <random>
#include <set>

/// Simulates one VM that handles packets late because its link is full, its
/// process is paused, or both; upstreams that answer, are slow or die; and
/// callers that retransmit. Time and randomness are injected.
namespace cairnhead::tagging_test
{

struct late_vm_plan
{
    std::uint64_t seed = 1;
    std::size_t upstreams = 6;
    std::size_t flows = 24;
    duration length = 20s;
    /// How often the link becomes full, and for how long at most.
    std::size_t full_links = 4;
    duration longest_full_link = 2s;
    /// How often the process is paused, and for how long at most.
    std::size_t pauses = 4;
    duration longest_pause = 1500ms;
    std::size_t dying_upstreams = 2;
};

class late_vm
{
public:
    explicit late_vm(late_vm_plan const& chosen)
        : plan(chosen), random(chosen.seed), time(time_point(1h)),
          router(this->settings, make_failure_domain_id("perth"), chosen.seed)
    {
        this->apply_listings();
        this->schedule_disruptions();
        for (std::size_t index = 0; index < this->plan.flows; ++index)
            this->start_flow(index);
        this->schedule_tick();
    }

    void run()
    {
        this->time.run_for(this->plan.length + 5s);
    }

    /// Flows that were reset although their upstream was alive.
    [[nodiscard]] std::size_t resets_of_live_upstreams() const
    {
        return this->live_upstream_resets;
    }

    /// Flows that were reset because their upstream was dead.
    [[nodiscard]] std::size_t resets_of_dead_upstreams() const
    {
        return this->dead_upstream_resets;
    }

    /// How many checks had this outcome.
    [[nodiscard]] std::size_t checks_with(connection_outcome outcome) const
    {
        auto const found = this->outcomes.find(outcome);
        return found == this->outcomes.end() ? 0 : found->second;
    }

private:
    struct caller
    {
        std::size_t upstream = 0;
        std::uint32_t sequence = 100;
        std::uint32_t acknowledged = 500;
        /// Whether the request `sequence` has no answer yet.
        bool is_waiting = false;
        bool is_reset = false;
        duration retransmission_timeout{};
    };

    struct running_check
    {
        upstream_tag suspect;
        connection_check trial;
        std::optional<time_point> suspect_answers_at;
        std::optional<time_point> reference_answers_at;
    };

    duration random_duration(duration minimum, duration maximum)
    {
        auto const span =
            static_cast<std::uint64_t>((maximum - minimum).count());
        return minimum + duration(this->random() % (span + 1));
    }

    time_point random_time()
    {
        return this->time.now() + this->random_duration(1s, this->plan.length);
    }

    void apply_listings()
    {
        upstream_listing listing;
        for (std::size_t index = 0; index < this->plan.upstreams; ++index)
            listing.upstreams.push_back(make_upstream(
                index + 1, "main", index % 2 == 0 ? "perth" : "lanark"));
        route_listing routes;
        routes.routes.push_back(
            {ipv4_address(0xc6120001),
             known_port,
             flow_class::form,
             false,
             {{"main", 1}}});
        this->router.set_listings(
            this->time.now(),
            {std::make_shared<route_listing const>(routes),
             std::make_shared<upstream_listing const>(listing),
             std::make_shared<evacuation_listing const>()});
    }

    void schedule_disruptions()
    {
        for (std::size_t count = 0; count < this->plan.full_links; ++count)
        {
            duration const backlog =
                this->random_duration(10ms, this->plan.longest_full_link);
            this->time.add(
                this->random_time(),
                [this, backlog]
                {
                    this->link_free_at =
                        std::max(this->link_free_at, this->time.now()) +
                        backlog;
                });
        }
        for (std::size_t count = 0; count < this->plan.pauses; ++count)
        {
            duration const pause =
                this->random_duration(10ms, this->plan.longest_pause);
            this->time.add(
                this->random_time(),
                [this, pause]
                {
                    this->pause_ends_at =
                        std::max(this->pause_ends_at, this->time.now() + pause);
                });
        }
        for (std::size_t index = 0; index < this->plan.dying_upstreams; ++index)
            this->time.add(
                this->random_time(),
                [this, index]
                {
                    this->dead_upstreams.insert(index);
                });
    }

    /// Runs the process's work; during a pause it is deferred until the end.
    void run_in_process(std::function<void()> work)
    {
        if (this->time.now() >= this->pause_ends_at)
            return work();
        this->time.add(
            this->pause_ends_at,
            [this, work = std::move(work)]
            {
                this->run_in_process(work);
            });
    }

    /// When a packet that is sent now leaves the VM's link.
    time_point departure_time()
    {
        return std::max(this->link_free_at, this->time.now()) + 200us;
    }

    void schedule_tick()
    {
        this->time.add(
            this->time.now() + 100ms,
            [this]
            {
                this->schedule_tick();
                this->run_in_process(
                    [this]
                    {
                        effect_list effects;
                        this->router.tick(this->time.now(), effects);
                        this->router.advance(this->time.now(), effects);
                        this->carry_out(effects);
                    });
            });
    }

    void start_flow(std::size_t index)
    {
        this->callers[index].upstream = this->random() % this->plan.upstreams;
        this->schedule_request(index);
    }

    void schedule_request(std::size_t index)
    {
        this->time.add(
            this->time.now() + this->random_duration(20ms, 4s),
            [this, index]
            {
                caller& sender = this->callers[index];
                if (sender.is_reset)
                    return;
                sender.is_waiting = true;
                sender.sequence += 100;
                sender.retransmission_timeout = 200ms;
                this->send_request(index);
            });
    }

    void send_request(std::size_t index)
    {
        caller& sender = this->callers[index];
        std::uint32_t const sequence = sender.sequence;
        this->send_packet(index, true);
        duration const wait = sender.retransmission_timeout;
        sender.retransmission_timeout = std::min<duration>(wait * 2, 1600ms);
        this->time.add(
            this->time.now() + wait,
            [this, index, sequence]
            {
                caller const& waiting = this->callers[index];
                if (waiting.is_waiting && waiting.sequence == sequence &&
                    !waiting.is_reset)
                    this->send_request(index);
            });
    }

    /// Delivers a packet of the caller to the VM.
    void send_packet(std::size_t index, bool has_data)
    {
        caller const& sender = this->callers[index];
        packet_arrived arrived;
        arrived.flow = flow_id(index + 1);
        arrived.destination = {
            ipv4_address(0xc6120001), known_port, transport_protocol::tcp};
        arrived.phase = packet_phase::ongoing;
        arrived.token = packet_token(1);
        arrived.tag = tag_of(instance_number(sender.upstream + 1));
        arrived.source = {
            ipv4_address(0x64400001), static_cast<std::uint16_t>(index + 1),
            transport_protocol::tcp};
        arrived.progress = {sender.sequence, sender.acknowledged, has_data};
        this->run_in_process(
            [this, arrived, index, has_data]
            {
                effect_list effects;
                this->router.route(this->time.now(), arrived, effects);
                this->carry_out(effects);
                if (has_data)
                    this->deliver(index, arrived.progress.sequence);
            });
    }

    void deliver(std::size_t index, std::uint32_t sequence)
    {
        // Some requests take longer than the callers' retransmission timeout.
        duration const work = this->random() % 8 == 0
                                  ? this->random_duration(200ms, 900ms)
                                  : this->random_duration(5ms, 60ms);
        this->time.add(
            this->departure_time() + work,
            [this, index, sequence]
            {
                caller& sender = this->callers[index];
                bool const is_answered =
                    !this->dead_upstreams.contains(sender.upstream) &&
                    sender.is_waiting && sender.sequence == sequence &&
                    !sender.is_reset;
                if (!is_answered)
                    return;
                sender.is_waiting = false;
                sender.acknowledged += 1000;
                this->send_packet(index, false);
                this->schedule_request(index);
            });
    }

    void carry_out(effect_list const& effects)
    {
        for (effect const& produced : effects)
        {
            if (auto const* const check =
                    std::get_if<check_upstream>(&produced))
                this->begin_check(*check);
            if (auto const* const reset =
                    std::get_if<reset_known_flow>(&produced))
                this->end_flow(reset->caller.port - 1U);
        }
    }

    std::optional<time_point> answer_time(connection_target const& asked)
    {
        std::size_t const index = asked.address.value() - 0x0a000000U - 1U;
        if (this->dead_upstreams.contains(index))
            return std::nullopt;
        return this->departure_time() + this->random_duration(200us, 2ms);
    }

    void begin_check(check_upstream const& wanted)
    {
        running_check started{
            wanted.upstream, connection_check(this->time.now()),
            this->answer_time(wanted.suspect), std::nullopt};
        for (connection_target const& reference : wanted.witnesses)
        {
            auto const answer = this->answer_time(reference);
            if (!answer)
                continue;
            started.reference_answers_at = std::min(
                started.reference_answers_at.value_or(*answer), *answer);
        }
        this->schedule_evaluation(started);
    }

    void schedule_evaluation(running_check const& check)
    {
        this->time.add(
            check.trial.next_due(),
            [this, check]
            {
                this->run_in_process(
                    [this, check]
                    {
                        this->evaluate(check);
                    });
            });
    }

    connection_state state_of(std::optional<time_point> answers_at)
    {
        return answers_at && *answers_at <= this->time.now()
                   ? connection_state::accepted
                   : connection_state::pending;
    }

    void evaluate(running_check check)
    {
        auto const outcome = check.trial.evaluate(
            this->time.now(), {this->state_of(check.suspect_answers_at),
                               this->state_of(check.reference_answers_at)});
        if (!outcome)
            return this->schedule_evaluation(check);
        ++this->outcomes[*outcome];
        effect_list effects;
        this->router.receive(
            this->time.now(), {check.suspect, *outcome}, effects);
        this->carry_out(effects);
    }

    void end_flow(std::size_t index)
    {
        caller& sender = this->callers[index];
        sender.is_reset = true;
        if (this->dead_upstreams.contains(sender.upstream))
            ++this->dead_upstream_resets;
        else
            ++this->live_upstream_resets;
    }

    late_vm_plan plan;
    std::mt19937_64 random;
    emulator::agenda time;
    tagging_settings settings;
    tag_router router;
    std::map<std::size_t, caller> callers;
    std::set<std::size_t> dead_upstreams;
    time_point link_free_at;
    time_point pause_ends_at;
    std::map<connection_outcome, std::size_t> outcomes;
    std::size_t live_upstream_resets = 0;
    std::size_t dead_upstream_resets = 0;
};

} // namespace cairnhead::tagging_test
