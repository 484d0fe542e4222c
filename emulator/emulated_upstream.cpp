#include <emulator/emulated_upstream.hpp>

#include <algorithm>
#include <utility>

namespace cairnhead::emulator
{

namespace
{

using std::chrono_literals::operator""ms;

/// RFC 6298 lets a host repeat a packet after no less; then it doubles.
constexpr duration first_repetition = 200ms;
constexpr duration longest_repetition = 1600ms;
constexpr int most_repetitions = 8;

/// Bytes of an answer that tells of a full queue or of an error.
constexpr std::uint32_t refusal_bytes = 60;
constexpr std::uint32_t error_bytes = 120;

} // namespace

emulated_upstream::emulated_upstream(
    registered_upstream const& chosen,
    upstream_shape const& behavior,
    agenda& schedule,
    upstream_effects effects)
    : self(chosen), shape(behavior), time(schedule), act(std::move(effects))
{
}

void emulated_upstream::receive(caller_packet const& packet)
{
    if (this->state == upstream_life::silent)
        return;
    if (this->is_stalled())
        return this->time.add(
            this->stalled_until,
            [this, packet]
            {
                this->receive(packet);
            });
    if (this->state == upstream_life::refusing)
        return this->send(packet, answer_kind::reset, 0);
    if (packet.phase == packet_phase::opening)
        return this->open(packet);
    auto const known = this->connections.find(packet.flow);
    if (known == this->connections.end())
        return this->send(packet, answer_kind::reset, 0);
    bool const is_over = packet.phase == packet_phase::closing ||
                         packet.phase == packet_phase::reset;
    // RFC 9293, 3.10.7.4: before the connection is established, a segment that
    // acknowledges what was never sent is answered by a reset.
    bool const is_acceptable =
        known->second.is_confirmed ||
        packet.progress.acknowledged == this->first_sequence() + 1;
    if (!is_acceptable)
    {
        this->connections.erase(known);
        return this->send(packet, answer_kind::reset, 0);
    }
    known->second.is_confirmed = true;
    known->second.tag = packet.tag;
    known->second.acknowledged = packet.progress.acknowledged;
    if (packet.progress.has_data)
        this->take_data(packet, known->second);
    if (is_over)
        this->connections.erase(packet.flow);
}

void emulated_upstream::open(caller_packet const& packet)
{
    bool const is_new = !this->connections.contains(packet.flow);
    connection& opened = this->connections[packet.flow];
    if (!opened.is_confirmed)
    {
        opened.next_sequence = this->first_sequence() + 1;
        opened.tag = packet.tag;
    }
    if (!is_new)
        return this->send(packet, answer_kind::opened, this->first_sequence());
    opened.acknowledged = this->first_sequence();
    this->send_until_acknowledged(
        {packet.flow, this->self.instance, answer_kind::opened,
         this->first_sequence(), 0, opened.tag},
        1, 0);
}

void emulated_upstream::send_until_acknowledged(
    upstream_packet const& packet, std::uint32_t bytes, int attempt)
{
    auto const known = this->connections.find(packet.flow);
    bool const is_wanted =
        known != this->connections.end() &&
        this->state == upstream_life::serving &&
        static_cast<std::int32_t>(
            packet.sequence + bytes - known->second.acknowledged) > 0;
    if (!is_wanted || attempt > most_repetitions)
        return;
    upstream_packet sent = packet;
    sent.tag = known->second.tag;
    this->act.send(sent);
    this->time.add(
        this->time.now() +
            std::min(first_repetition * (1 << attempt), longest_repetition),
        [this, packet, bytes, attempt]
        {
            this->send_until_acknowledged(packet, bytes, attempt + 1);
        });
}

void emulated_upstream::take_data(
    caller_packet const& packet, connection& known)
{
    this->send(packet, answer_kind::acknowledged, known.next_sequence);
    if (!known.requests.insert(packet.request).second)
        return;
    if (!this->expected.empty())
        this->expected.pop_front();
    duration const length =
        packet.work == duration() ? this->shape.service_time : packet.work;
    work const taken{packet.flow, packet.request, length, packet.answer_length};
    if (this->fails_requests)
        return this->answer(taken, answer_status::failed, error_bytes);
    bool const is_full = this->shape.queue_bound &&
                         this->running.size() >= this->self.slots &&
                         this->waiting.size() >= *this->shape.queue_bound;
    if (is_full)
        return this->answer(taken, answer_status::overflowed, refusal_bytes);
    this->waiting.push_back(taken);
    this->start_work();
}

void emulated_upstream::start_work()
{
    while (this->running.size() < this->self.slots && !this->waiting.empty())
    {
        work next = this->waiting.front();
        this->waiting.pop_front();
        next.ends_at = this->time.now() +
                       next.length * static_cast<std::int64_t>(this->factor);
        this->running.push_back(next.ends_at);
        ++this->run_count;
        this->act.run(next.flow, next.request);
        this->time.add(
            next.ends_at,
            [this, next]
            {
                this->finish(next);
            });
    }
}

void emulated_upstream::finish(work const& done)
{
    this->running.erase(std::ranges::find(this->running, done.ends_at));
    this->answer(done, answer_status::served, done.answer_length);
    this->start_work();
}

void emulated_upstream::answer(
    work const& done, answer_status status, std::uint32_t answer_length)
{
    auto const known = this->connections.find(done.flow);
    bool const is_wanted = known != this->connections.end() &&
                           this->state == upstream_life::serving;
    if (!is_wanted)
        return;
    upstream_packet const packet{
        done.flow,
        this->self.instance,
        answer_kind::answered,
        known->second.next_sequence,
        done.request,
        known->second.tag,
        status,
        answer_length};
    known->second.next_sequence += answer_length;
    if (this->shape.repeats_answers)
        this->send_until_acknowledged(packet, answer_length, 0);
    else
        this->act.send(packet);
}

void emulated_upstream::expect(duration length)
{
    this->expected.push_back(length);
}

std::optional<time_point> emulated_upstream::predict_end(duration length) const
{
    bool const is_full = this->shape.queue_bound &&
                         this->waiting.size() + this->expected.size() >=
                             *this->shape.queue_bound;
    if (is_full)
        return std::nullopt;
    // When each slot is free, the earliest first.
    auto const later = std::greater<>();
    std::vector<time_point> slots(this->running);
    slots.resize(
        std::max<std::size_t>(slots.size(), this->self.slots),
        this->time.now());
    std::ranges::make_heap(slots, later);
    auto const add = [&](duration next)
    {
        std::ranges::pop_heap(slots, later);
        slots.back() += next * static_cast<std::int64_t>(this->factor);
        time_point const end = slots.back();
        std::ranges::push_heap(slots, later);
        return end;
    };
    for (auto const& each : this->waiting)
        add(each.length);
    for (duration const each : this->expected)
        add(each);
    return add(length);
}

void emulated_upstream::send(
    caller_packet const& to, answer_kind kind, std::uint32_t sequence) const
{
    this->act.send(
        {to.flow, this->self.instance, kind, sequence, to.request, to.tag});
}

std::uint32_t emulated_upstream::first_sequence() const
{
    return static_cast<std::uint32_t>(this->self.instance.value());
}

void emulated_upstream::set_life(upstream_life now)
{
    this->state = now;
    if (now != upstream_life::serving)
        this->connections.clear();
}

void emulated_upstream::stall(time_point until)
{
    this->stalled_until = until;
}

bool emulated_upstream::is_stalled() const
{
    return this->time.now() < this->stalled_until;
}

void emulated_upstream::set_slowness(std::uint32_t chosen)
{
    this->factor = chosen;
}

void emulated_upstream::set_failing(bool is_so)
{
    this->fails_requests = is_so;
}

bool emulated_upstream::is_failing() const
{
    return this->fails_requests;
}

void emulated_upstream::drain(time_point now)
{
    this->drained_at = now;
}

registered_upstream const& emulated_upstream::registered() const
{
    return this->self;
}

upstream_life emulated_upstream::life() const
{
    return this->state;
}

std::optional<time_point> emulated_upstream::draining_since() const
{
    return this->drained_at;
}

std::uint32_t emulated_upstream::slowness() const
{
    return this->factor;
}

bool emulated_upstream::has_confirmed(flow_number flow) const
{
    auto const known = this->connections.find(flow);
    return known != this->connections.end() && known->second.is_confirmed;
}

std::size_t emulated_upstream::flow_count() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->connections,
        [](auto const& each)
        {
            return each.second.is_confirmed;
        }));
}

std::uint64_t emulated_upstream::runs() const
{
    return this->run_count;
}

} // namespace cairnhead::emulator
