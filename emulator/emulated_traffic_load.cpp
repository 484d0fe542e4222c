#include <emulator/emulated_traffic.hpp>

#include <algorithm>
#include <utility>

namespace cairnhead::emulator
{

namespace
{

using std::chrono_literals::operator""ms;

/// A request is sent again twice.
constexpr std::uint32_t most_retries = 2;

/// Callers wait so long before they send a request again.
constexpr duration retry_pause = 20ms;

/// Ways of an opening, its answer, a request and its answer.
constexpr duration exchange_time = 6 * way;

} // namespace

load_tally& emulated_traffic::tally()
{
    return this->counted_load;
}

request_arrivals& emulated_traffic::arrivals()
{
    return this->arriving;
}

emulated_traffic::caller&
emulated_traffic::take_resting(std::size_t route, std::uint32_t domain)
{
    auto& idle = this->resting[this->resting_place(route, domain)];
    if (idle.empty())
    {
        caller& made = this->callers.emplace_back();
        made.number = this->callers.size() - 1;
        made.domain = domain;
        made.load = route;
        made.source.address = caller_address(made.number);
        return made;
    }
    std::swap(idle[this->random() % idle.size()], idle.back());
    auto const number = idle.back();
    idle.pop_back();
    return this->callers[number];
}

void emulated_traffic::rest(caller& who)
{
    ++who.step;
    who.state = caller_state::pausing;
    this->resting[this->resting_place(*who.load, who.domain)].push_back(
        who.number);
}

std::size_t
emulated_traffic::resting_place(std::size_t route, std::uint32_t domain) const
{
    return route * this->shape.load.domain_weights.size() + domain;
}

void emulated_traffic::take_request(
    std::size_t route, std::uint32_t domain, duration work)
{
    caller& who = this->take_resting(route, domain);
    who.work = work;
    who.retries = 0;
    who.arrived_at = this->fleet.now();
    if (auto* const outcome =
            this->counted_load.outcome_of(route, who.arrived_at))
        ++outcome->arrived;
    bool const needs_flow =
        !who.has_flow || this->shape.load.placer == request_placer::knows_all;
    if (!needs_flow)
        return this->request_next(who);
    if (who.has_flow)
        this->close_flow(who);
    this->open(who);
}

void emulated_traffic::begin_loaded_flow(caller& who)
{
    route_load const& load = this->load_of(who);
    who.route = this->fleet.registry().routes_now().routes[load.route];
    // Flows of one to nearly twice the mean number of requests.
    who.flow_requests =
        1 + static_cast<std::uint32_t>(
                this->random() % (2 * load.requests_per_flow - 1));
    who.has_flow = true;
}

route_load const& emulated_traffic::load_of(caller const& who) const
{
    return this->shape.load.routes[*who.load];
}

bool emulated_traffic::place_with_knowledge(caller& who)
{
    auto const best = this->farm.find_quickest(
        who.route, who.work, who.domain,
        this->shape.fabric.extra_between_domains);
    bool const is_in_time =
        best && best->answers_at + exchange_time <=
                    who.arrived_at + this->load_of(who).target;
    if (!is_in_time)
        return false;
    who.placed_at = best->instance;
    this->farm.expect(best->instance, who.work);
    return true;
}

void emulated_traffic::send_directly(
    caller const& who, caller_packet const& packet)
{
    auto const* const reached = this->farm.find(who.placed_at);
    if (reached == nullptr)
        return;
    bool const is_near = this->farm.domain_of(*reached) == who.domain;
    this->fleet.schedule().add(
        this->fleet.now() + 2 * way +
            (is_near ? duration() : this->shape.fabric.extra_between_domains),
        [this, packet, instance = who.placed_at, route = who.route]
        {
            this->farm.receive(instance, packet, route);
        });
}

void emulated_traffic::take_loaded_answer(
    caller& who, upstream_packet const& packet)
{
    who.sequence += request_bytes;
    std::uint32_t const at_once = acknowledged_at_once(packet.bytes);
    who.acknowledged = packet.sequence + at_once;
    if (at_once > 0)
        this->send(who, packet_phase::ongoing, false);
    who.acknowledged = packet.sequence + packet.bytes;
    if (packet.status != answer_status::served)
    {
        auto* const outcome =
            this->counted_load.outcome_of(*who.load, who.arrived_at);
        bool const is_full = packet.status == answer_status::overflowed;
        if (outcome != nullptr)
            ++(is_full ? outcome->full_queues : outcome->errors);
        this->close_flow(who);
        return this->fail(
            who, is_full ? request_end::overflowed : request_end::failed);
    }
    this->counted.note_end(
        request_end::answered, this->fleet.now() - who.arrived_at);
    this->counted_load.note_answer(
        *who.load, who.arrived_at, this->fleet.now());
    if (who.request >= who.flow_requests)
        this->close_flow(who);
    this->rest(who);
}

void emulated_traffic::close_flow(caller& who)
{
    this->send(who, packet_phase::closing, false);
    who.has_flow = false;
}

void emulated_traffic::end_try(caller& who, request_end how)
{
    bool const has_not_run = how == request_end::refused ||
                             how == request_end::overflowed ||
                             who.state == caller_state::opening;
    bool const is_tried_again =
        who.retries < most_retries &&
        (has_not_run || this->load_of(who).is_repeatable);
    who.has_flow = false;
    if (is_tried_again)
    {
        ++who.retries;
        ++who.step;
        who.state = caller_state::pausing;
        return this->schedule(who, retry_pause, &emulated_traffic::open);
    }
    this->counted.note_end(how, this->fleet.now() - who.arrived_at);
    auto* const outcome =
        this->counted_load.outcome_of(*who.load, who.arrived_at);
    if (outcome != nullptr)
        ++(how == request_end::refused ? outcome->refused : outcome->failed);
    this->rest(who);
}

} // namespace cairnhead::emulator
