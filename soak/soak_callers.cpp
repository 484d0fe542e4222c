#include <soak/soak_callers.hpp>

#include <base/ipv4.hpp>

#include <utility>

namespace cairnhead::soak
{

namespace
{

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

using emulator::answer_kind;
using emulator::request_end;

/// An opening is repeated after these, and given up after the last.
constexpr std::array<duration, 3> opening_steps{200ms, 400ms, 800ms};

/// RFC 6298 lets callers repeat data after no less; then it doubles.
constexpr duration first_repetition = 200ms;
constexpr duration longest_repetition = 1600ms;

/// Callers give a request up after this.
constexpr duration patience = 5s;

constexpr duration pause = 200ms;
constexpr std::uint32_t requests_per_flow = 4;

constexpr ipv4_address route_address(0xc6120001);
constexpr std::uint16_t first_port = 1024;
constexpr std::uint32_t ports = 60'000;

} // namespace

soak_callers::soak_callers(
    parties others, socket_address own, std::uint32_t count, std::uint64_t seed)
    : with(std::move(others)), own_address(own), socket(own), random(seed)
{
    for (std::uint32_t number = 0; number < count; ++number)
    {
        this->callers.push_back(std::make_unique<caller>());
        this->callers.back()->number = number;
    }
}

int soak_callers::descriptor() const
{
    return this->socket.descriptor();
}

std::optional<flow_number> soak_callers::flow_of(std::uint16_t port) const
{
    auto const known = this->by_port.find(port);
    if (known == this->by_port.end())
        return std::nullopt;
    return known->second.flow;
}

soak_callers::caller* soak_callers::caller_at(std::uint16_t port)
{
    auto const known = this->by_port.find(port);
    bool const is_current =
        known != this->by_port.end() && known->second.who->port == port;
    return is_current ? known->second.who : nullptr;
}

void soak_callers::begin()
{
    for (auto const& each : this->callers)
        this->schedule(
            *each, std::chrono::milliseconds(this->random() % 1'000),
            &soak_callers::open);
}

void soak_callers::probe(
    std::size_t vm, soak_route const& route, probe_expectation expected)
{
    this->callers.push_back(std::make_unique<caller>());
    caller& who = *this->callers.back();
    who.only_vm = vm;
    who.expected = expected;
    who.route = route;
    this->start_flow(who);
}

void soak_callers::schedule(caller& who, duration delay, caller_action then)
{
    this->with.time.add(
        this->with.time.now() + delay,
        [this, &who, then, step = who.step]
        {
            if (who.step == step)
                (this->*then)(who);
        });
}

void soak_callers::open(caller& who)
{
    who.route = this->with.any_route(this->random());
    this->start_flow(who);
}

void soak_callers::start_flow(caller& who)
{
    this->by_flow.erase(who.flow);
    who.flow = flow_number(++this->last_flow);
    this->by_flow[who.flow] = &who;
    who.port = static_cast<std::uint16_t>(first_port + this->last_flow % ports);
    this->by_port[who.port] = {&who, who.flow};
    who.state = caller_state::opening;
    who.tag = 0;
    who.served_by.reset();
    who.sequence = 0;
    who.acknowledged = 0;
    who.request = 0;
    who.wanted_at = this->with.time.now();
    this->send(who, tagged_path::syn, false);
    ++who.step;
    who.attempts = 0;
    this->schedule(who, opening_steps.front(), &soak_callers::repeat_opening);
}

void soak_callers::repeat_opening(caller& who)
{
    ++who.attempts;
    if (who.attempts >= opening_steps.size())
    {
        if (who.only_vm)
            return this->end_probe(who, false);
        this->check_hung(who);
        return this->end_flow(who, request_end::timed_out);
    }
    this->send(who, tagged_path::syn, false);
    this->schedule(
        who, opening_steps.at(who.attempts), &soak_callers::repeat_opening);
}

void soak_callers::request_next(caller& who)
{
    ++who.request;
    ++who.step;
    who.state = caller_state::waiting;
    who.wanted_at = this->with.time.now();
    who.attempts = 0;
    who.is_acknowledged = false;
    this->send(who, tagged_path::ack, true);
    this->schedule(who, first_repetition, &soak_callers::repeat_data);
}

void soak_callers::repeat_data(caller& who)
{
    if (this->with.time.now() >= who.wanted_at + patience)
    {
        this->check_hung(who);
        return this->end_flow(who, request_end::timed_out);
    }
    ++who.attempts;
    this->schedule(
        who,
        std::min(first_repetition * (1 << who.attempts), longest_repetition),
        &soak_callers::repeat_data);
    if (!who.is_acknowledged)
        this->send(who, tagged_path::ack, true);
}

void soak_callers::send(caller& who, std::uint8_t flags, bool has_data)
{
    tagged_path::packet packet;
    packet.echo = who.tag;
    packet.sequence = who.sequence;
    packet.acknowledgement = who.acknowledged;
    packet.flags = flags;
    packet.source = {this->own_address.address, who.port};
    packet.destination = {route_address, who.route.port};
    if (has_data)
    {
        packet.data = std::to_string(who.request);
        packet.data.resize(emulator::request_bytes, ' ');
    }
    auto const vm =
        who.only_vm ? who.only_vm : this->with.choose_vm(who.number, who.port);
    if (!vm)
        return;
    this->with.path.carry(
        [this, packet, target = this->with.entrance(*vm)]
        {
            tagged_path::send(this->socket, target, packet);
        });
}

void soak_callers::receive_resets()
{
    while (auto const got = tagged_path::receive(this->socket))
    {
        auto const read = tagged_path::decode(got->bytes);
        caller* const who = this->caller_at(read.destination.port);
        bool const is_reset = read.flags == tagged_path::rst;
        if (who != nullptr && is_reset)
            this->be_reset(*who, this->with.vm_at(got->sender.address));
    }
}

void soak_callers::receive(upstream_answer const& answer)
{
    auto const& packet = answer.packet;
    auto const known = this->by_flow.find(packet.flow);
    if (known == this->by_flow.end())
        return;
    caller& who = *known->second;
    if (packet.kind == answer_kind::opened)
        return this->confirm(who, answer);
    bool const is_of_flow = !who.served_by || *who.served_by == packet.sender;
    if (packet.kind == answer_kind::reset && !is_of_flow)
        this->check_reset(
            who, answer.by_way_of,
            "upstream=" + name_of_instance(packet.sender));
    // A caller cannot tell who reset its flow.
    if (packet.kind == answer_kind::reset)
        return this->end_flow(who, request_end::reset);
    if (!is_of_flow)
        return;
    who.tag = answer.tag;
    if (packet.kind == answer_kind::answered)
        return this->take_answer(who, answer);
    who.is_acknowledged |= packet.request == who.request;
}

void soak_callers::confirm(caller& who, upstream_answer const& answer)
{
    if (who.only_vm)
        return this->end_probe(who, true);
    who.tag = answer.tag;
    if (who.state != caller_state::opening)
        return;
    who.served_by = answer.packet.sender;
    who.sequence = 1;
    who.acknowledged = answer.packet.sequence + 1;
    this->send(who, tagged_path::ack, false);
    auto const opened_at = who.wanted_at;
    this->request_next(who);
    who.wanted_at = opened_at;
}

void soak_callers::take_answer(caller& who, upstream_answer const& answer)
{
    bool const is_awaited = who.state == caller_state::waiting &&
                            answer.packet.request == who.request;
    // It came again: its acknowledgement was lost.
    if (!is_awaited && answer.packet.request <= who.request)
        return this->send(who, tagged_path::ack, false);
    if (!is_awaited)
        return this->with.record.note(
            this->with.time.now(), broken_promise::wrong_answer,
            this->describe(who));
    this->with.record.note_end(
        answer.packet.status == emulator::answer_status::served
            ? request_end::answered
            : request_end::failed);
    who.sequence += emulator::request_bytes;
    who.acknowledged = answer.packet.sequence + answer.packet.bytes;
    this->send(who, tagged_path::ack, false);
    ++who.step;
    who.state = caller_state::pausing;
    bool const is_last = who.request >= requests_per_flow;
    if (is_last)
        this->send(who, tagged_path::fin | tagged_path::ack, false);
    this->schedule(
        who, pause,
        is_last ? &soak_callers::open : &soak_callers::request_next);
}

void soak_callers::end_flow(caller& who, request_end how)
{
    if (who.only_vm)
        return;
    if (who.state != caller_state::pausing)
        this->with.record.note_end(how);
    ++who.step;
    who.state = caller_state::pausing;
    this->schedule(who, pause, &soak_callers::open);
}

void soak_callers::be_reset(caller& who, std::size_t vm)
{
    if (who.state == caller_state::opening)
    {
        this->with.record.note_refusal(who.flow);
        if (who.only_vm)
            return this->end_probe(who, false);
        this->check_refusal(who, vm);
        return this->end_flow(who, request_end::refused);
    }
    bool const is_over =
        who.state == caller_state::pausing && who.request >= requests_per_flow;
    if (is_over)
        return;
    this->check_reset(who, vm, "vm=" + std::to_string(vm));
    this->end_flow(who, request_end::reset);
}

void soak_callers::check_reset(
    caller const& who, std::size_t vm, std::string_view from)
{
    time_point const now = this->with.time.now();
    bool const is_over =
        who.state == caller_state::pausing && who.request >= requests_per_flow;
    bool const is_living = who.served_by && !is_over &&
                           this->with.upstreams.is_living(*who.served_by, now);
    if (is_living && this->with.disturbed.is_vm_calm(vm, now))
        this->with.record.note(
            now, broken_promise::living_flow_reset,
            this->describe(who) + " reset_by " + std::string(from));
}

void soak_callers::check_refusal(caller const& who, std::size_t vm)
{
    time_point const now = this->with.time.now();
    bool const is_in_vain = this->with.disturbed.is_vm_informed(vm, now) &&
                            this->with.upstreams.may_serve(who.route.pool);
    if (is_in_vain)
        this->with.record.note(
            now, broken_promise::refused_in_vain,
            this->describe(who) + " vm=" + std::to_string(vm));
}

void soak_callers::check_hung(caller const& who)
{
    bool const is_bound = this->with.disturbed.are_all_calm(who.wanted_at);
    bool const could_be_served =
        who.served_by
            ? this->with.upstreams.is_living(*who.served_by, who.wanted_at)
            : this->with.upstreams.may_serve(who.route.pool);
    if (is_bound && could_be_served)
        this->with.record.note(
            this->with.time.now(), broken_promise::living_flow_hung,
            this->describe(who));
}

void soak_callers::end_probe(caller& who, bool is_served)
{
    ++who.step;
    bool const is_wanted = who.expected == probe_expectation::served;
    bool const was_ended = who.state == caller_state::pausing;
    who.state = caller_state::pausing;
    time_point const now = this->with.time.now();
    // A change, or trouble, that came meanwhile voids the probe.
    bool const is_bound =
        this->with.disturbed.is_vm_informed(*who.only_vm, now);
    if (was_ended || is_served == is_wanted || !is_bound)
        return;
    this->with.record.note(
        now, broken_promise::old_configuration,
        this->describe(who) + " vm=" + std::to_string(*who.only_vm) +
            (is_served ? " served=yes" : " served=no"));
}

std::string soak_callers::describe(caller const& who) const
{
    return "caller=" + format_ipv4(this->own_address.address) + ":" +
           std::to_string(who.port) +
           " route_port=" + std::to_string(who.route.port) +
           " request=" + std::to_string(who.request) +
           (who.served_by ? " upstream=" + name_of_instance(*who.served_by)
                          : "");
}

} // namespace cairnhead::soak
