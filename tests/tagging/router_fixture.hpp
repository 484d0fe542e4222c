#pragma once

#include <tagging/tag_router.hpp>

#include <base/hash.hpp>

#include <criterion/criterion.h>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// Fixture of the tests of `tag_router`, with injected time.
namespace cairnhead::tagging_test
{

using namespace std::chrono_literals;

inline constexpr std::uint64_t router_seed = 20260101;
inline constexpr std::uint16_t known_port = 443;
inline constexpr std::uint16_t split_port = 444;
inline constexpr std::uint16_t unknown_port = 445;
inline constexpr std::uint16_t idempotent_port = 446;
inline constexpr std::uint16_t other_port = 447;
/// The sequence number of openings.
inline constexpr std::uint32_t opening_sequence = 0;

inline registered_upstream make_upstream(
    std::uint64_t number,
    std::string pool = "main",
    std::string domain = "perth")
{
    return {
        .instance = instance_number(number),
        .address = ipv4_address(0x0a000000 + static_cast<unsigned>(number)),
        .port = 8080,
        .is_draining = false,
        .slots = 4,
        .cold_milliseconds = 0,
        .pool = std::move(pool),
        .failure_domain = std::move(domain)};
}

/// Runs a router with upstreams and four routes: two to the pool `main`, one of
/// them idempotent, one to `other`, and one that splits its flows between
/// `main` and `other`, 1 to 3.
class router_fixture
{
public:
    explicit router_fixture(
        std::vector<registered_upstream> upstreams = {},
        tagging_settings const& chosen = {})
        : settings(chosen)
    {
        this->list_routes({});
        this->list(std::move(upstreams));
        this->evacuate({});
    }

    /// Evacuates exactly these failure domains.
    void evacuate(std::vector<std::string> domains)
    {
        this->router.set_listings(
            this->now,
            {.evacuations = std::make_shared<evacuation_listing const>(
                 evacuation_listing{std::move(domains)})});
    }

    /// Lists the routes. `target`: their target latency; later answers are
    /// late. `priority`: what they declare, the idempotent one a less urgent
    /// one.
    void list_routes(
        duration target,
        std::vector<pool_warmup> warmups = {},
        std::optional<std::uint8_t> priority = {})
    {
        route_listing routes;
        routes.warmups = std::move(warmups);
        ipv4_address const address(0xc6120001);
        routes.routes.push_back(
            {address, known_port, flow_class::form, false, {{"main", 1}}});
        routes.routes.push_back(
            {address,
             split_port,
             flow_class::form,
             false,
             {{"main", 1}, {"other", 3}}});
        routes.routes.push_back(
            {address, idempotent_port, flow_class::feed, true, {{"main", 1}}});
        routes.routes.push_back(
            {address, other_port, flow_class::form, false, {{"other", 1}}});
        for (published_route& route : routes.routes)
        {
            route.target_latency = target;
            route.priority = priority;
            if (priority && route.is_idempotent)
                route.priority = static_cast<std::uint8_t>(*priority + 1);
        }
        this->router.set_listings(
            this->now,
            {.routes = std::make_shared<route_listing const>(routes)});
    }

    /// Puts a new listing of upstreams in force.
    void list(std::vector<registered_upstream> upstreams)
    {
        this->router.set_listings(
            this->now, {.upstreams = std::make_shared<upstream_listing const>(
                            upstream_listing{std::move(upstreams)})});
    }

    /// Lets time pass at once, then calls `tick` and `advance`.
    void wait(duration time)
    {
        this->now += time;
        this->router.tick(this->now, this->other_effects);
        this->router.advance(this->now, this->other_effects);
    }

    /// Routes a packet and returns its packet effect.
    effect pass(
        std::uint64_t flow,
        packet_phase phase,
        std::uint32_t tag,
        std::uint16_t port = known_port)
    {
        packet_token const token(++this->packets);
        endpoint const destination{
            ipv4_address(0xc6120001), port, transport_protocol::tcp};
        packet_arrived arrived;
        arrived.flow = flow_id(flow);
        arrived.destination = destination;
        arrived.phase = phase;
        arrived.token = token;
        arrived.tag = upstream_tag(tag);
        arrived.source = {
            ipv4_address(0x64400001), static_cast<std::uint16_t>(flow),
            transport_protocol::tcp};
        arrived.progress = this->next_progress;
        arrived.bytes = packet_bytes;
        arrived.waited = this->next_waited;
        return this->route(arrived);
    }

    /// Routes a request of the flow, or its retransmission.
    effect
    request(std::uint64_t flow, std::uint64_t tag, std::uint32_t sequence = 100)
    {
        this->next_progress = {sequence, 500, true};
        auto result = this->pass(
            flow, packet_phase::ongoing, static_cast<std::uint32_t>(tag));
        this->next_progress = {};
        return result;
    }

    /// Routes a request that acknowledges the answer to the one before it.
    effect request_with_acknowledgement(
        std::uint64_t flow,
        std::uint64_t tag,
        std::uint32_t sequence,
        std::uint32_t acknowledged)
    {
        this->next_progress = {sequence, acknowledged, true};
        auto result = this->pass(
            flow, packet_phase::ongoing, static_cast<std::uint32_t>(tag));
        this->next_progress = {};
        return result;
    }

    /// Routes the caller's acknowledgement of an answer.
    void acknowledge(
        std::uint64_t flow, std::uint64_t tag, std::uint32_t acknowledged)
    {
        this->next_progress = {101, acknowledged, false};
        this->pass(
            flow, packet_phase::ongoing, static_cast<std::uint32_t>(tag));
        this->next_progress = {};
    }

    /// Routes the caller's FIN, which acknowledges an answer.
    void
    close(std::uint64_t flow, std::uint64_t tag, std::uint32_t acknowledged)
    {
        this->next_progress = {101, acknowledged, false};
        this->pass(
            flow, packet_phase::closing, static_cast<std::uint32_t>(tag));
        this->next_progress = {};
    }

    /// Lets `longest` pass, and calls `advance` at each deadline of the router.
    void advance(duration longest)
    {
        time_point const end = this->now + longest;
        for (auto due = this->router.next_due(); due && *due <= end;
             due = this->router.next_due())
        {
            this->now = std::max(this->now, *due);
            this->router.advance(this->now, this->other_effects);
        }
        this->now = end;
    }

    /// Delivers the result of a check of the upstream.
    void end_check(
        std::uint64_t instance,
        connection_outcome outcome,
        incarnation life = {})
    {
        this->router.receive(
            this->now, {tag_of(instance_number(instance)), outcome, life},
            this->other_effects);
    }

    /// Removes and returns the effects of this kind that are not packet
    /// effects.
    template <typename Kind>
    std::vector<Kind> take()
    {
        std::vector<Kind> found;
        std::erase_if(
            this->other_effects,
            [&found](effect const& item)
            {
                auto const* const wanted = std::get_if<Kind>(&item);
                if (wanted != nullptr)
                    found.push_back(*wanted);
                return wanted != nullptr;
            });
        return found;
    }

    /// Removes and returns the copies of openings that offer these to further
    /// upstreams. The others tell an earlier upstream of the offer.
    std::vector<send_copy> take_offers()
    {
        auto copies = this->take<send_copy>();
        std::erase_if(
            copies,
            [](send_copy const& each)
            {
                return each.tag != toggle_provisional(
                                       tag_of(each.target.instance),
                                       opening_sequence,
                                       offer_standing::latest);
            });
        return copies;
    }

    /// Routes an opening; returns the instance that got it, zero for none.
    std::uint64_t open(std::uint64_t flow, std::uint16_t port = known_port)
    {
        return instance_of(this->pass(flow, packet_phase::opening, 0, port));
    }

    /// Routes an opening that was queued in the VM's socket for `waited`.
    effect open_queued(std::uint64_t flow, duration waited)
    {
        this->next_waited = waited;
        auto result = this->pass(flow, packet_phase::opening, 0);
        this->next_waited = {};
        return result;
    }

    /// Routes the nth retransmission of an opening.
    effect open_retransmission(std::uint64_t flow, std::uint32_t number)
    {
        this->next_progress = {opening_sequence, number, false};
        auto result = this->pass(flow, packet_phase::opening, 0);
        this->next_progress = {};
        return result;
    }

    /// Routes a packet with the tag; returns the instance that got it, zero if
    /// it was dropped.
    std::uint64_t route_tagged(std::uint64_t flow, std::uint64_t tag)
    {
        effect const result = this->pass(
            flow, packet_phase::ongoing, static_cast<std::uint32_t>(tag));
        cr_expect(!std::holds_alternative<refuse_opening>(result));
        return instance_of(result);
    }

    /// Opens a flow and has the caller confirm it; returns the instance.
    std::uint64_t establish(std::uint64_t flow)
    {
        auto const instance = this->open(flow);
        this->route_tagged(flow, instance);
        return instance;
    }

    /// Has callers confirm openings that this VM placed, as they do soon after
    /// its start, and reset their flows, so that the VM retries openings.
    /// Precondition: the port's pool has a ready upstream.
    void confirm_openings(std::uint16_t port = known_port)
    {
        constexpr std::uint64_t first_flow = 60'000;
        for (std::uint64_t flow = first_flow; flow < first_flow + 4; ++flow)
        {
            auto const instance = this->open(flow, port);
            this->route_tagged(flow, instance);
            this->pass(
                flow, packet_phase::reset, static_cast<std::uint32_t>(instance),
                port);
        }
    }

    /// The effects that are no packet effects, kept for `take`.
    effect_list& others()
    {
        return this->other_effects;
    }

    static std::uint64_t instance_of(effect const& result)
    {
        auto const* const sent = std::get_if<send_tagged>(&result);
        if (sent == nullptr)
            return 0;
        upstream_tag const own = tag_of(sent->target.instance);
        bool is_known = sent->tag == own;
        for (auto const standing :
             {offer_standing::latest, offer_standing::superseded})
            is_known |= sent->tag ==
                        toggle_provisional(own, opening_sequence, standing);
        cr_expect(is_known);
        return sent->target.instance.value();
    }

    tagging_settings settings;
    time_point now{1h};
    tag_router router{settings, make_failure_domain_id("perth"), router_seed};

private:
    /// Returns the only packet effect; other effects are kept for `take`.
    effect route(packet_arrived const& arrived)
    {
        effect_list effects;
        this->router.route(this->now, arrived, effects);
        std::vector<effect> packet_effects;
        for (effect& item : effects)
        {
            bool const is_packet_effect =
                std::holds_alternative<send_tagged>(item) ||
                std::holds_alternative<refuse_opening>(item) ||
                std::holds_alternative<keep_copy>(item) ||
                std::holds_alternative<drop_packet>(item);
            (is_packet_effect ? packet_effects : this->other_effects)
                .push_back(std::move(item));
        }
        cr_assert_eq(packet_effects.size(), 1);
        return packet_effects.front();
    }

    static constexpr std::uint8_t packet_bytes[] = {1, 2, 3};

    flow_progress next_progress;
    duration next_waited{};
    effect_list other_effects;
    std::uint32_t packets = 0;
};

} // namespace cairnhead::tagging_test
