#include <emulator/packet_fabric.hpp>

#include <base/hash.hpp>

#include <array>
#include <cstring>
#include <span>
#include <type_traits>
#include <utility>

namespace cairnhead::emulator
{

namespace
{

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

/// From callers to VMs and from VMs to upstreams, one way.
constexpr duration way = 300us;

/// Whether a VM takes packets that wait in its socket is looked for this often.
constexpr duration look_period = std::chrono::milliseconds(2);

/// VMs take no packets that waited in their sockets for longer.
constexpr duration maximum_packet_age = 2s;

constexpr std::uint64_t per_thousand = 1'000;

flow_id hash_of(caller_place const& from)
{
    auto const number = [](endpoint const& place)
    {
        constexpr unsigned port_bits = 16;
        return std::uint64_t{place.address.value()} << port_bits | place.port;
    };
    return flow_id(hash_pair(number(from.source), number(from.destination)));
}

static_assert(std::is_trivially_copyable_v<caller_packet>);

std::array<std::uint8_t, sizeof(caller_packet)>
bytes_of(caller_packet const& packet)
{
    std::array<std::uint8_t, sizeof(caller_packet)> bytes{};
    std::memcpy(bytes.data(), &packet, bytes.size());
    return bytes;
}

/// Precondition: the bytes are those of a packet.
caller_packet packet_from(std::span<std::uint8_t const> bytes)
{
    caller_packet packet;
    std::memcpy(&packet, bytes.data(), sizeof(packet));
    return packet;
}

} // namespace

packet_fabric::packet_fabric(
    emulated_fleet& around,
    fabric_shape const& chosen_shape,
    std::uint64_t seed,
    fabric_ends chosen)
    : fleet(around), shape(chosen_shape), random(seed), ends(std::move(chosen)),
      rotation(around, chosen_shape.spread),
      unserved(around.place().shape().failure_domains)
{
    this->fleet.set_packet_effects(
        [this](std::uint32_t vm, effect const& wanted)
        {
            this->carry_out(vm, wanted);
        });
}

std::uint32_t packet_fabric::copies()
{
    auto const drawn = this->random() % per_thousand;
    if (drawn < this->shape.lost_permille)
        return 0;
    bool const is_doubled =
        drawn < this->shape.lost_permille + this->shape.doubled_permille;
    return is_doubled ? 2 : 1;
}

time_point packet_fabric::unserved_at(std::uint32_t domain) const
{
    return this->unserved[domain];
}

void packet_fabric::send(caller_place const& from, caller_packet const& packet)
{
    for (std::uint32_t copy = this->copies(); copy > 0; --copy)
    {
        auto const chosen = this->rotation.choose(
            from.domain, hash_of(from).value(), this->random());
        if (!chosen)
        {
            this->unserved[from.domain] = this->fleet.now();
            return;
        }
        auto const vm = *chosen;
        this->fleet.schedule().add(
            this->fleet.now() + way,
            [this, vm, from, packet, sent_at = this->fleet.now()]
            {
                this->reach(vm, from, packet, sent_at);
            });
    }
}

void packet_fabric::reach(
    std::uint32_t vm,
    caller_place const& from,
    caller_packet const& packet,
    time_point sent_at)
{
    if (!this->fleet.is_running(vm))
        return;
    time_point const now = this->fleet.now();
    if (now < this->fleet.thaws_at(vm))
        return this->fleet.schedule().add(
            this->fleet.thaws_at(vm),
            [this, vm, from, packet, sent_at, life = this->fleet.life_of(vm)]
            {
                // What waited in the sockets of a process ends with it.
                if (life == this->fleet.life_of(vm))
                    this->reach(vm, from, packet, sent_at);
            });
    if (now > sent_at + maximum_packet_age)
        return;
    duration const waited = now - sent_at - way;
    if (!this->fleet.takes_in(vm, packet.phase, waited))
        return this->fleet.schedule().add(
            now + look_period,
            [this, vm, from, packet, sent_at, life = this->fleet.life_of(vm)]
            {
                if (life == this->fleet.life_of(vm))
                    this->reach(vm, from, packet, sent_at);
            });
    auto const token = ++this->last_token;
    this->in_flight[token] = packet;
    packet_arrived arrived;
    arrived.flow = hash_of(from);
    arrived.destination = from.destination;
    arrived.source = from.source;
    arrived.phase = packet.phase;
    arrived.token = packet_token(token);
    arrived.tag = packet.tag;
    arrived.progress = packet.progress;
    arrived.waited = waited;
    auto const bytes = bytes_of(packet);
    arrived.bytes = bytes;
    this->fleet.pass(vm, arrived);
    this->in_flight.erase(token);
}

void packet_fabric::carry_out(std::uint32_t vm, effect const& wanted)
{
    if (auto const* const sent = std::get_if<send_tagged>(&wanted))
        this->hand_on(
            vm, sent->target, sent->tag,
            this->in_flight.at(sent->token.value()));
    if (auto const* const copied = std::get_if<send_copy>(&wanted))
        this->hand_on(
            vm, copied->target, copied->tag, packet_from(copied->bytes));
    if (auto const* const refused = std::get_if<refuse_opening>(&wanted))
        this->ends.refuse(this->in_flight.at(refused->token.value()).flow);
    if (auto const* const reset = std::get_if<reset_known_flow>(&wanted))
        this->ends.reset(reset->caller, reset->acknowledged);
    if (auto const* const asked = std::get_if<check_upstream>(&wanted))
        this->ends.check(vm, *asked);
}

void packet_fabric::hand_on(
    std::uint32_t vm,
    tagged_target const& target,
    upstream_tag tag,
    caller_packet const& packet)
{
    caller_packet handed_on = packet;
    handed_on.tag = tag;
    for (std::uint32_t copy = this->copies(); copy > 0; --copy)
        this->fleet.schedule().add(
            this->fleet.now() + way,
            [this, vm, instance = target.instance, handed_on]
            {
                this->ends.reach_upstream(vm, instance, handed_on);
            });
}

} // namespace cairnhead::emulator
