#include "driven_reducer.hpp"

#include <base/hash.hpp>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace cairnhead::measure
{

namespace
{

constexpr std::uint32_t member_base = 10U << 24 | 1U << 16;
constexpr time_point start_time(1'000s);
constexpr std::uint64_t self_wall_clock = 1'000'000;
/// The peers started long before.
constexpr std::uint64_t peer_wall_clock = 1;
constexpr duration serving_deadline = 30s;
/// Beyond `opening_lifetime`, so that no opening is taken for a repeated one
/// of the time before this VM joined.
constexpr duration settle_length = 25s;
constexpr std::size_t claims_per_part = 40;

} // namespace

driven_reducer::driven_reducer(settings_type const& chosen)
    : settings(chosen), published(write_documents(chosen.declared)), random(1),
      clock(start_time)
{
    reducer_settings made;
    made.self = {this->member_at(0), make_failure_domain_id(domain_name(0))};
    made.seeds = {this->member_at(1)};
    made.pins.maximum_pins = chosen.maximum_pins;
    // The lease is no part of what is measured.
    made.membership.lease = 1h;
    this->driven = std::make_unique<reducer>(made);
    this->start();
}

void driven_reducer::apply(event::body_type body)
{
    this->effects.clear();
    this->driven->apply({this->clock, std::move(body)}, this->effects);
}

effect_list const& driven_reducer::receive(packet_arrived const& packet)
{
    this->effects.clear();
    this->driven->apply(this->clock, packet, this->effects);
    return this->effects;
}

void driven_reducer::run_for(duration length)
{
    time_point const end = this->clock + length;
    while (this->clock < end)
    {
        this->clock += tick_period;
        this->deliver(tick{});
    }
}

void driven_reducer::advance(duration length)
{
    this->clock += length;
}

std::vector<flow_id>
driven_reducer::make_flows(flow_role role, std::size_t count)
{
    std::vector<flow_id> flows;
    vm_id const self = this->member_at(0);
    while (flows.size() < count)
    {
        flow_id const flow(this->random());
        // An unknown address spares the prediction.
        flow_holders const holders =
            this->driven->explain(this->clock, flow, {}).holders;
        flow_role const found = holders.owner == self    ? flow_role::owner
                                : holders.backup == self ? flow_role::backup
                                                         : flow_role::ingress;
        if (found == role)
            flows.push_back(flow);
    }
    return flows;
}

packet_arrived driven_reducer::make_packet(flow_id flow, packet_phase phase)
{
    return {
        flow, first_service_address(), phase, packet_token(1), std::nullopt};
}

void driven_reducer::establish(flow_id flow, flow_role role)
{
    if (role == flow_role::ingress)
        return;
    if (role == flow_role::owner)
    {
        this->receive(make_packet(flow, packet_phase::opening));
        this->receive(make_packet(flow, packet_phase::ongoing));
        return;
    }
    std::shared_ptr<directory const> const declared =
        this->driven->documents().current();
    service const& target = *declared->find_service(first_service_address());
    packet_arrived packet = make_packet(flow, packet_phase::ongoing);
    peer_frame frame;
    frame.sender = this->driven->explain(this->clock, flow, {}).holders.owner;
    frame.role = frame_role::store_backup;
    frame.claim = pin_claim{
        flow, target.id, declared->upstreams().front().id,
        pin_state::established};
    packet.frame = frame;
    this->receive(packet);
}

reducer const& driven_reducer::decides() const
{
    return *this->driven;
}

time_point driven_reducer::now() const
{
    return this->clock;
}

std::vector<named_document> const& driven_reducer::documents() const
{
    return this->published;
}

vm_id driven_reducer::member_at(std::size_t position) const
{
    return vm_id(member_base + static_cast<std::uint32_t>(position) + 1);
}

void driven_reducer::start()
{
    this->deliver(started{self_wall_clock});
    time_point const deadline = this->clock + serving_deadline;
    while (this->driven->view(this->clock).state != serving_state::serving)
    {
        if (this->clock > deadline)
            throw std::logic_error("the driven VM does not serve");
        this->run_for(tick_period);
    }
    this->run_for(settle_length);
    auto const declared = this->driven->documents().current();
    if (declared->find_service(first_service_address()) == nullptr)
        throw std::logic_error("the driven VM has no declarations");
}

void driven_reducer::deliver(event::body_type body)
{
    this->answers.push_back(std::move(body));
    while (!this->answers.empty())
    {
        auto const due = std::exchange(this->answers, {});
        for (event::body_type const& item : due)
        {
            this->apply(item);
            this->answer(this->effects);
        }
    }
}

void driven_reducer::answer(effect_list const& asked)
{
    for (effect const& item : asked)
    {
        std::visit(
            [this](auto const& body)
            {
                this->answer(body);
            },
            item);
    }
}

void driven_reducer::answer(send_control const& body)
{
    std::visit(
        [&](auto const& message)
        {
            this->answer_control(body.target, message);
        },
        body.body);
}

void driven_reducer::answer(fetch_document const& body)
{
    auto const found =
        std::ranges::find(this->published, body.name, &named_document::name);
    if (found == this->published.end())
        this->answers.emplace_back(
            document_fetch_failed{body.source, body.name});
    else
        this->answers.emplace_back(document_fetched{
            body.source, body.name, document_version(1), found->text});
}

void driven_reducer::answer(watch_platform const& body)
{
    // A later watch waits for a change, and there is none.
    if (body.after != platform_index())
        return;
    this->answers.emplace_back(platform_listed{platform_index(1), {}, {}});
}

void driven_reducer::answer(report const& body)
{
    if (body.kind != report_kind::document_rejected)
        return;
    throw std::logic_error(
        "a measured document is refused: " + body.subject + " " + body.detail);
}

template <typename Other>
void driven_reducer::answer(Other const&)
{
    // All other effects are of packets, or for operators.
}

void driven_reducer::answer_control(vm_id peer, ping const& message)
{
    ping_answer const answer{
        message.sequence, peer, this->driven->documents().digest(), {}};
    this->answers.emplace_back(control_arrived{{peer, answer}});
}

void driven_reducer::answer_control(vm_id peer, member_listing const& message)
{
    if (message.kind != listing_kind::request)
        return;
    std::vector<member_update> listed = this->claims();
    // The own claim comes last: it proves that the listing is new.
    listed.insert(listed.end(), message.members.begin(), message.members.end());
    std::span<member_update const> left(listed);
    while (!left.empty())
    {
        auto const part = left.first(std::min(claims_per_part, left.size()));
        member_listing answer{listing_kind::answer, {part.begin(), part.end()}};
        this->answers.emplace_back(control_arrived{{peer, answer}});
        left = left.subspan(part.size());
    }
}

void driven_reducer::answer_control(vm_id peer, document_listing const& message)
{
    if (message.kind != listing_kind::request)
        return;
    document_listing answer;
    answer.kind = listing_kind::answer;
    for (named_document const& document : this->published)
        answer.documents.push_back({document.name, document_version(1)});
    this->answers.emplace_back(control_arrived{{peer, answer}});
}

template <typename Other>
void driven_reducer::answer_control(vm_id, Other const&)
{
    // Nothing else needs an answer.
}

std::vector<member_update> driven_reducer::claims() const
{
    std::vector<member_update> made;
    for (std::size_t position = 1; position < this->settings.members;
         ++position)
    {
        made.push_back(
            {this->member_at(position),
             make_failure_domain_id(domain_name(position)),
             first_incarnation(peer_wall_clock), member_status::alive});
    }
    return made;
}

} // namespace cairnhead::measure
