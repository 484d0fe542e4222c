#include <support/invariant_checker.hpp>

#include <base/hash.hpp>

#include <algorithm>
#include <type_traits>

namespace cairnhead::test
{

namespace
{

/// From VM to VM, for one arrival from the fabric.
constexpr std::size_t maximum_hops = 10;

/// How long a TCP caller repeats its SYN by default: six times, doubling.
constexpr duration opening_repetition = 127s;

template <typename Body>
constexpr bool is_packet_effect =
    std::is_same_v<Body, send_to_upstream> ||
    std::is_same_v<Body, send_to_peer> ||
    std::is_same_v<Body, refuse_opening> || std::is_same_v<Body, drop_packet>;

std::uint64_t digest_of(send_to_upstream const& body)
{
    return hash_pair(body.token.value(), body.upstream.value());
}

std::uint64_t digest_of(send_to_peer const& body)
{
    auto const claimed = body.frame.claim ? body.frame.claim->upstream.value()
                                          : std::uint32_t(0);
    return hash_pair(
        hash_pair(body.token.value(), body.target.value()),
        hash_pair(static_cast<std::uint64_t>(body.frame.role), claimed));
}

std::uint64_t digest_of(refuse_opening const& body)
{
    return hash_pair(
        body.token.value(),
        static_cast<std::uint64_t>(body.retry_at.time_since_epoch().count()));
}

std::uint64_t digest_of(drop_packet const& body)
{
    return hash_pair(
        body.token.value(), static_cast<std::uint64_t>(body.reason));
}

std::uint64_t digest_of(send_control const& body)
{
    return hash_pair(body.target.value(), body.body.index());
}

std::uint64_t digest_of(report const& body)
{
    return hash_pair(
        static_cast<std::uint64_t>(body.kind), hash_text(body.subject));
}

std::uint64_t digest_of(fetch_document const& body)
{
    return hash_pair(hash_text(body.name), body.version.value());
}

std::uint64_t digest_of(probe_upstream const& body)
{
    return body.upstream.value();
}

/// The other effects are told apart by their kind alone.
template <typename Body>
std::uint64_t digest_of(Body const&)
{
    return 0;
}

std::uint32_t network_of(std::uint32_t address)
{
    return address >> 8 & 0xff;
}

bool is_opening(packet_phase phase)
{
    return phase == packet_phase::opening ||
           phase == packet_phase::opening_with_data ||
           phase == packet_phase::datagram;
}

/// The owner moved an opening, or the caller uses the ports of an ended flow
/// again: the one claim that replaces an established pin.
bool is_replacement(event const& happened)
{
    auto const* const packet = std::get_if<packet_arrived>(&happened.body);
    return packet != nullptr && packet->frame &&
           packet->frame->role == frame_role::store_backup &&
           is_opening(packet->phase);
}

} // namespace

invariant_checker::invariant_checker(std::size_t initial_maximum_pins)
    : maximum_pins(initial_maximum_pins)
{
}

void invariant_checker::apply(
    vm_id vm, reducer& decides, event const& happened, effect_list& effects)
{
    if (std::holds_alternative<started>(happened.body))
        this->versions.erase(vm);
    pins_before const before = remember_pins(decides, happened);
    effect_list own;
    decides.apply(happened, own);
    std::vector<effect> packet_effects;
    for (effect const& item : own)
    {
        std::visit(
            [&]<typename Body>(Body const& body)
            {
                if constexpr (is_packet_effect<Body>)
                    packet_effects.push_back(item);
                this->effects_digest = hash_pair(
                    hash_pair(this->effects_digest, vm.value()),
                    hash_pair(item.index(), digest_of(body)));
            },
            item);
    }
    auto const* const packet = std::get_if<packet_arrived>(&happened.body);
    if (packet != nullptr)
        this->check_packet(happened.now, *packet, packet_effects);
    else if (!packet_effects.empty())
        this->note("a packet effect without a packet");
    this->check_pins(vm, decides, happened, before);
    if (packet == nullptr)
        this->check_versions(vm, decides);
    effects.insert(effects.end(), own.begin(), own.end());
}

std::string invariant_checker::violations() const
{
    std::string text;
    for (std::string const& line : this->noted)
        text += line + "\n";
    return text;
}

std::uint64_t invariant_checker::digest() const
{
    return this->effects_digest;
}

invariant_checker::pins_before
invariant_checker::remember_pins(reducer const& decides, event const& happened)
{
    pin_table const& pins = decides.pins();
    pins_before before{pins.size(), {}};
    auto const* const packet = std::get_if<packet_arrived>(&happened.body);
    if (packet != nullptr)
    {
        // Looking at all pins at each packet would take most of the time.
        pin const* const held = pins.find(packet->flow);
        if (held == nullptr)
            return before;
        // An expired pin may go at its next packet or at the sweep.
        if (held->expires_at > happened.now)
            before.living.push_back(*held);
        else
            before.count -= 1;
        return before;
    }
    for (pin const& held : pins.all())
    {
        if (held.expires_at > happened.now)
            before.living.push_back(held);
    }
    return before;
}

void invariant_checker::check_pins(
    vm_id vm,
    reducer const& decides,
    event const& happened,
    pins_before const& before)
{
    pin_table const& pins = decides.pins();
    if (pins.size() > this->maximum_pins)
        this->note("more pins than permitted");
    bool const is_packet =
        std::holds_alternative<packet_arrived>(happened.body);
    if (is_packet && pins.size() + before.living.size() < before.count)
        this->note("a packet evicted other flows' pins");
    for (pin const& earlier : before.living)
    {
        if (earlier.state != pin_state::established)
            continue;
        pin const* const held = pins.find(earlier.flow);
        std::string const name = std::to_string(vm.value() & 0xff);
        if (held == nullptr)
            this->note("VM " + name + " lost an established pin");
        else if (
            held->upstream != earlier.upstream && !is_replacement(happened))
            this->note("VM " + name + " moved an established pin");
    }
}

void invariant_checker::check_versions(vm_id vm, reducer const& decides)
{
    auto& highest = this->versions[vm];
    for (document_stamp const& stamp : decides.documents().stamps())
    {
        // The accepted text's stamp may be behind: it follows the verdicts.
        if (stamp.name.find('#') != std::string::npos)
            continue;
        document_version& seen = highest[stamp.name];
        if (stamp.version < seen)
            this->note("the version of " + stamp.name + " fell");
        seen = std::max(seen, stamp.version);
    }
}

void invariant_checker::check_packet(
    time_point now,
    packet_arrived const& packet,
    std::vector<effect> const& effects)
{
    if (effects.size() != 1)
        return this->note(
            "a packet with " + std::to_string(effects.size()) + " effects");
    if (!packet.frame)
        ++this->arrivals[packet.token];
    std::visit(
        [&]<typename Body>(Body const& body)
        {
            if constexpr (is_packet_effect<Body>)
            {
                if (body.token != packet.token)
                    this->note("an effect for another packet");
            }
            if constexpr (requires { this->check(now, packet, body); })
                this->check(now, packet, body);
        },
        effects.front());
}

void invariant_checker::check(
    time_point now, packet_arrived const& packet, send_to_upstream const& body)
{
    bool const is_ended_by_claim =
        packet.frame && packet.frame->claim &&
        packet.frame->claim->state == pin_state::closing;
    bool const is_ended = packet.phase == packet_phase::closing ||
                          packet.phase == packet_phase::reset ||
                          is_ended_by_claim;
    // After its end the caller may use the same ports for a new flow.
    this->sent_until[packet.flow] = is_ended ? now : now + opening_repetition;
    // The samples give an organisation one third byte for all its addresses.
    if (network_of(body.upstream.value()) !=
        network_of(packet.destination.address.value()))
        this->note("a packet reached another organisation's upstream");
}

void invariant_checker::check(
    time_point, packet_arrived const& packet, send_to_peer const& body)
{
    std::size_t const permitted =
        maximum_hops * std::max<std::size_t>(1, this->arrivals[packet.token]);
    if (++this->hops[packet.token] > permitted)
        this->note("a packet went round in a loop");
    auto const& visited = body.frame.visited;
    bool const is_question = body.frame.role == frame_role::to_owner ||
                             body.frame.role == frame_role::second_chance;
    if (body.target == body.frame.sender ||
        (is_question && visited.contains(body.target)))
        this->note("a packet was sent where it had been");
}

void invariant_checker::check(
    time_point now, packet_arrived const& packet, refuse_opening const&)
{
    auto const sent = this->sent_until.find(packet.flow);
    if (sent != this->sent_until.end() && now < sent->second)
        this->note("an opening was refused after it was sent");
}

void invariant_checker::note(std::string violation)
{
    this->noted.insert(std::move(violation));
}

} // namespace cairnhead::test
