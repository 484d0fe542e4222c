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

} // namespace

emulated_upstream::emulated_upstream(
    registered_upstream const& chosen,
    duration service_time,
    agenda& schedule,
    upstream_effects effects)
    : self(chosen), time_for_request(service_time), time(schedule),
      act(std::move(effects))
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
    this->waiting.push_back({packet.flow, packet.request});
    this->start_work();
}

void emulated_upstream::start_work()
{
    while (this->busy_slots < this->self.slots && !this->waiting.empty())
    {
        work const next = this->waiting.front();
        this->waiting.pop_front();
        ++this->busy_slots;
        ++this->run_count;
        this->act.run(next.flow, next.request);
        this->time.add(
            this->time.now() +
                this->time_for_request * static_cast<int>(this->factor),
            [this, next]
            {
                this->finish(next);
            });
    }
}

void emulated_upstream::finish(work const& done)
{
    --this->busy_slots;
    auto const known = this->connections.find(done.flow);
    bool const is_wanted = known != this->connections.end() &&
                           this->state == upstream_life::serving;
    if (is_wanted)
    {
        auto const sequence = known->second.next_sequence;
        known->second.next_sequence += answer_bytes;
        this->send_until_acknowledged(
            {done.flow, this->self.instance, answer_kind::answered, sequence,
             done.request, known->second.tag},
            answer_bytes, 0);
    }
    this->start_work();
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
