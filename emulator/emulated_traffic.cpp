#include <emulator/emulated_traffic.hpp>

#include <algorithm>
#include <utility>

namespace cairnhead::emulator
{

namespace
{

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

/// RFC 6298 lets callers repeat a packet after no less; then it doubles.
constexpr duration first_repetition = 200ms;

/// Callers give a request up after this.
constexpr duration patience = 5s;

/// How long a check waits, as the product's does.
constexpr duration check_time = 250ms;

/// After a cut or an outage has ended, what it led to may still show.
constexpr duration aftermath = 10s;

constexpr std::uint32_t first_caller_address = 0x64400001;
constexpr std::uint16_t first_port = 1024;
constexpr std::uint32_t ports = 60'000;

} // namespace

ipv4_address caller_address(std::size_t number)
{
    return ipv4_address(
        first_caller_address + static_cast<std::uint32_t>(number));
}

emulated_traffic::emulated_traffic(
    emulated_fleet& around, traffic_shape const& chosen, std::uint64_t seed)
    : fleet(around), shape(chosen), random(seed),
      farm(
          around,
          this->counted,
          chosen.upstreams,
          seed + 1,
          [this](upstream_packet const& packet, std::uint32_t domain)
          {
              this->answer_from(packet, domain);
          }),
      fabric(around, chosen.fabric, seed + 2, this->make_ends()),
      callers(chosen.callers), counted_load(this->shape.load),
      arriving(
          around.schedule(),
          this->shape.load,
          seed + 3,
          [this](std::size_t route, std::uint32_t domain, duration work)
          {
              this->take_request(route, domain, work);
          }),
      resting(chosen.load.routes.size() * chosen.load.domain_weights.size()),
      cut_at(around.place().shape().failure_domains)
{
    auto const domains = around.place().shape().failure_domains;
    for (std::size_t number = 0; number < this->callers.size(); ++number)
    {
        caller& made = this->callers[number];
        made.number = number;
        made.domain = static_cast<std::uint32_t>(number) % domains;
        made.source.address = caller_address(number);
    }
}

fabric_ends emulated_traffic::make_ends()
{
    fabric_ends ends;
    ends.reach_upstream = [this](
                              std::uint32_t vm, instance_number instance,
                              caller_packet const& packet)
    {
        auto const* const reached = this->farm.find(instance);
        caller const* const sender = this->caller_of(packet.flow);
        if (reached == nullptr || sender == nullptr)
            return;
        auto const near = this->fleet.place().domain_of(vm);
        auto const there = this->farm.domain_of(*reached);
        if (!this->fleet.are_connected(near, there))
            return;
        duration const extra = this->shape.fabric.extra_between_domains;
        if (near == there || extra == duration())
            return this->farm.receive(instance, packet, sender->route);
        this->fleet.schedule().add(
            this->fleet.now() + extra,
            [this, instance, packet, route = sender->route]
            {
                this->farm.receive(instance, packet, route);
            });
    };
    ends.refuse = [this](flow_number flow)
    {
        if (caller* const who = this->caller_of(flow))
            this->be_refused(*who);
    };
    ends.reset = [this](endpoint const& source, std::uint32_t acknowledged)
    {
        auto const who =
            std::ranges::find(this->callers, source, &caller::source);
        bool const is_taken =
            who != this->callers.end() && who->acknowledged == acknowledged;
        if (is_taken)
            this->be_reset(*who);
    };
    ends.check = [this](std::uint32_t vm, check_upstream const& wanted)
    {
        this->answer_check(vm, wanted);
    };
    return ends;
}

void emulated_traffic::begin()
{
    for (caller& each : this->callers)
        this->schedule(
            each, std::chrono::milliseconds(this->random() % 1'000),
            &emulated_traffic::open);
    this->arriving.begin();
}

void emulated_traffic::note_cut(std::uint32_t domain)
{
    this->cut_at[domain] = this->fleet.now();
}

upstream_farm& emulated_traffic::upstreams()
{
    return this->farm;
}

traffic_meter& emulated_traffic::meter()
{
    return this->counted;
}

emulated_traffic::caller* emulated_traffic::caller_of(flow_number flow)
{
    auto const known = this->by_flow.find(flow);
    return known == this->by_flow.end() ? nullptr
                                        : &this->callers[known->second];
}

void emulated_traffic::schedule(caller& who, duration delay, caller_action then)
{
    this->fleet.schedule().add(
        this->fleet.now() + delay,
        [this, &who, then, step = who.step]
        {
            if (who.step == step)
                (this->*then)(who);
        });
}

void emulated_traffic::open(caller& who)
{
    this->by_flow.erase(who.flow);
    who.flow = flow_number(++this->last_flow);
    this->by_flow[who.flow] = who.number;
    who.source.port =
        static_cast<std::uint16_t>(first_port + this->last_flow % ports);
    auto const& routes = this->fleet.registry().routes_now().routes;
    if (who.load)
        this->begin_loaded_flow(who);
    else
        who.route = routes[this->random() % routes.size()];
    who.state = caller_state::opening;
    who.tag = upstream_tag();
    who.served_by.reset();
    who.sequence = 0;
    who.acknowledged = 0;
    who.request = 0;
    who.wanted_at = this->fleet.now();
    bool const is_refused = this->shape.load.placer != request_placer::vms &&
                            !this->place_with_knowledge(who);
    if (is_refused)
        return this->fail(who, request_end::refused);
    this->await(who);
    this->send(who, packet_phase::opening, false);
}

void emulated_traffic::await(caller& who)
{
    ++who.step;
    who.attempts = 0;
    who.is_acknowledged = false;
    this->schedule(who, first_repetition, &emulated_traffic::repeat);
}

void emulated_traffic::repeat(caller& who)
{
    duration const bound = who.state == caller_state::opening
                               ? this->shape.opening_patience
                               : patience;
    if (this->fleet.now() >= who.wanted_at + bound)
    {
        this->check_timeout(who);
        return this->fail(who, request_end::timed_out);
    }
    ++who.attempts;
    this->schedule(
        who, first_repetition * (1 << who.attempts), &emulated_traffic::repeat);
    if (who.state == caller_state::opening)
        return this->send(who, packet_phase::opening, false);
    if (!who.is_acknowledged)
        this->send(who, packet_phase::ongoing, true);
}

void emulated_traffic::send(caller& who, packet_phase phase, bool has_data)
{
    caller_packet packet;
    packet.flow = who.flow;
    packet.phase = phase;
    packet.tag = who.tag;
    packet.request = who.request;
    packet.progress = {who.sequence, who.acknowledged, has_data};
    if (who.load)
    {
        packet.work = who.work;
        packet.answer_length = this->load_of(who).answer_length;
    }
    if (this->shape.load.placer != request_placer::vms)
        return this->send_directly(who, packet);
    this->fabric.send(
        {who.domain,
         who.source,
         {who.route.address, who.route.port, transport_protocol::tcp}},
        packet);
}

void emulated_traffic::request_next(caller& who)
{
    ++who.request;
    who.state = caller_state::waiting;
    who.wanted_at = this->fleet.now();
    this->await(who);
    this->send(who, packet_phase::ongoing, true);
}

void emulated_traffic::close(caller& who)
{
    this->send(who, packet_phase::closing, false);
    ++who.step;
    who.state = caller_state::pausing;
    this->schedule(who, this->shape.pause, &emulated_traffic::open);
}

void emulated_traffic::fail(caller& who, request_end how)
{
    if (who.load)
        return this->end_try(who, how);
    this->counted.note_end(how, this->fleet.now() - who.wanted_at);
    ++who.step;
    who.state = caller_state::pausing;
    this->schedule(who, this->shape.pause, &emulated_traffic::open);
}

void emulated_traffic::answer_from(
    upstream_packet const& packet, std::uint32_t domain)
{
    caller const* const target = this->caller_of(packet.flow);
    if (target == nullptr || !this->fleet.are_connected(domain, target->domain))
        return;
    for (std::uint32_t copy = this->fabric.copies(); copy > 0; --copy)
        this->fleet.schedule().add(
            this->fleet.now() + way,
            [this, packet]
            {
                this->receive(packet);
            });
}

void emulated_traffic::receive(upstream_packet const& packet)
{
    caller* const who = this->caller_of(packet.flow);
    if (who == nullptr)
        return;
    bool const is_of_flow = !who->served_by || *who->served_by == packet.sender;
    if (packet.kind == answer_kind::opened)
        return this->confirm(*who, packet);
    if (!is_of_flow)
    {
        if (packet.kind == answer_kind::reset)
            this->check_reset(*who);
        return;
    }
    // Whatever is answered names its upstream, and the caller goes on with the
    // name that it saw last.
    who->tag = packet.tag;
    switch (packet.kind)
    {
    case answer_kind::opened:
        return;
    case answer_kind::acknowledged:
        who->is_acknowledged |= packet.request == who->request;
        return;
    case answer_kind::answered:
        return this->take_answer(*who, packet);
    case answer_kind::reset:
        return this->be_reset(*who);
    }
}

void emulated_traffic::confirm(caller& who, upstream_packet const& packet)
{
    who.tag = packet.tag;
    if (who.state != caller_state::opening)
        return;
    who.served_by = packet.sender;
    who.sequence = 1;
    who.acknowledged = packet.sequence + 1;
    this->send(who, packet_phase::ongoing, false);
    auto const opened_at = who.wanted_at;
    this->request_next(who);
    // The caller has waited since it opened the flow.
    who.wanted_at = opened_at;
}

void emulated_traffic::take_answer(caller& who, upstream_packet const& packet)
{
    bool const is_awaited =
        who.state == caller_state::waiting && packet.request == who.request;
    // It came again: its acknowledgement was lost.
    if (!is_awaited)
        return this->send(who, packet_phase::ongoing, false);
    if (who.load)
        return this->take_loaded_answer(who, packet);
    this->counted.note_end(
        request_end::answered, this->fleet.now() - who.wanted_at);
    who.sequence += request_bytes;
    who.acknowledged = packet.sequence + answer_bytes;
    this->send(who, packet_phase::ongoing, false);
    if (who.request >= this->shape.requests_per_flow)
        return this->close(who);
    ++who.step;
    who.state = caller_state::pausing;
    this->schedule(who, this->shape.pause, &emulated_traffic::request_next);
}

void emulated_traffic::be_reset(caller& who)
{
    if (who.state == caller_state::opening)
        return this->fail(who, request_end::refused);
    bool const is_between_flows =
        who.state == caller_state::pausing &&
        (who.load ? !who.has_flow
                  : who.request >= this->shape.requests_per_flow);
    if (is_between_flows)
        return;
    this->check_reset(who);
    if (who.state == caller_state::waiting)
        return this->fail(who, request_end::reset);
    if (who.load)
    {
        who.has_flow = false;
        return;
    }
    ++who.step;
    this->schedule(who, this->shape.pause, &emulated_traffic::open);
}

void emulated_traffic::be_refused(caller& who)
{
    if (who.state != caller_state::opening)
        return;
    bool const is_in_vain =
        !this->is_disturbed(who) && this->may_be_served(who);
    if (is_in_vain)
        this->counted.note_violation(
            this->fleet.now(), traffic_violation::refused_in_vain,
            this->describe(who));
    this->fail(who, request_end::refused);
}

void emulated_traffic::check_reset(caller const& who)
{
    auto const* const upstream =
        who.served_by ? this->farm.find(*who.served_by) : nullptr;
    bool const is_living = upstream != nullptr &&
                           upstream->life() == upstream_life::serving &&
                           !this->is_disturbed(who);
    if (is_living)
        this->counted.note_violation(
            this->fleet.now(),
            upstream->has_confirmed(who.flow)
                ? traffic_violation::living_flow_reset
                : traffic_violation::unconfirmed_flow_reset,
            this->describe(who));
}

void emulated_traffic::check_timeout(caller const& who)
{
    if (this->is_disturbed(who))
        return;
    auto const* const upstream =
        who.served_by ? this->farm.find(*who.served_by) : nullptr;
    bool const has_living_upstream =
        who.served_by
            ? upstream != nullptr && upstream->life() == upstream_life::serving
            : this->may_be_served(who);
    bool const is_unconfirmed =
        upstream != nullptr && !upstream->has_confirmed(who.flow);
    if (has_living_upstream)
        this->counted.note_violation(
            this->fleet.now(),
            is_unconfirmed ? traffic_violation::unconfirmed_flow_timed_out
                           : traffic_violation::living_flow_timed_out,
            this->describe(who));
}

bool emulated_traffic::is_disturbed(caller const& who) const
{
    time_point const unserved = this->fabric.unserved_at(who.domain);
    if (unserved != time_point() && this->fleet.now() < unserved + aftermath)
        return true;
    auto const* const upstream =
        who.served_by ? this->farm.find(*who.served_by) : nullptr;
    return upstream != nullptr &&
           this->was_cut_between(this->farm.domain_of(*upstream), who.domain);
}

bool emulated_traffic::was_cut_between(
    std::uint32_t domain, std::uint32_t other) const
{
    auto const was_cut = [this](std::uint32_t one)
    {
        time_point const at = this->cut_at[one];
        return at != time_point() && this->fleet.now() < at + aftermath;
    };
    bool const is_apart = domain != other;
    return is_apart && (was_cut(domain) || was_cut(other) ||
                        !this->fleet.are_connected(domain, other));
}

bool emulated_traffic::may_be_served(caller const& who) const
{
    return std::ranges::any_of(
        this->farm.domains_for(who.route),
        [&](std::uint32_t domain)
        {
            return !this->was_cut_between(domain, who.domain);
        });
}

void emulated_traffic::answer_check(
    std::uint32_t vm, check_upstream const& wanted)
{
    auto const outcome = this->outcome_of(vm, wanted);
    bool const is_quick = outcome == connection_outcome::connected ||
                          outcome == connection_outcome::refused;
    this->fleet.schedule().add(
        this->fleet.now() + (is_quick ? 2 * way : check_time),
        [this, vm, life = this->fleet.life_of(vm),
         result = upstream_checked{wanted.upstream, outcome, wanted.life}]
        {
            this->fleet.end_check(vm, life, result);
        });
}

bool emulated_traffic::answers(
    std::uint32_t vm, connection_target const& place) const
{
    auto const* const there = this->farm.find_at(place);
    return there != nullptr && there->life() != upstream_life::silent &&
           !there->is_stalled() &&
           this->fleet.are_connected(
               this->fleet.place().domain_of(vm), this->farm.domain_of(*there));
}

connection_outcome emulated_traffic::outcome_of(
    std::uint32_t vm, check_upstream const& wanted) const
{
    if (this->answers(vm, wanted.suspect))
    {
        auto const* const there = this->farm.find_at(wanted.suspect);
        return there->life() == upstream_life::serving
                   ? connection_outcome::connected
                   : connection_outcome::refused;
    }
    bool const is_witnessed = std::ranges::any_of(
        wanted.witnesses,
        [&](connection_target const& witness)
        {
            return this->answers(vm, witness);
        });
    return is_witnessed ? connection_outcome::unanswered
                        : connection_outcome::inconclusive;
}

std::string emulated_traffic::describe(caller const& who) const
{
    return "flow " + std::to_string(who.flow.value()) + " of domain " +
           std::to_string(who.domain) +
           (who.served_by ? " at " + name_of_instance(*who.served_by) : "");
}

} // namespace cairnhead::emulator
