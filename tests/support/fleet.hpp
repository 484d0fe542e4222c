#pragma once

#include <emulator/agenda.hpp>
#include <reducer/reducer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <variant>
#include <vector>

/// A thin fixture: a few reducers whose effects reach each other after a
/// fixed delay, with callers, upstreams and a platform reduced to what the
/// reducers can notice of them. All time is injected, all chance is seeded.
namespace cairnhead::test
{

struct fleet_vm
{
    vm_id id;
    failure_domain_id domain;
};

/// Applies an event to a VM's reducer in the fleet's place.
using event_applier = std::function<void(
    vm_id vm, reducer& decides, event const& event, effect_list& effects)>;

struct fleet_settings
{
    std::vector<fleet_vm> vms;
    /// Names and texts of the platform's documents.
    std::map<std::string, std::string> documents;
    reducer_settings reducer;
    std::uint64_t seed = 1;
    /// Of the packets between VMs, per thousand.
    std::uint32_t lost_permille = 0;
    /// Of the control datagrams between VMs, per thousand.
    std::uint32_t lost_control_permille = 0;
    duration delay = std::chrono::microseconds(500);
    /// How long the fabric goes on sending to a VM that died.
    duration fabric_lag = std::chrono::seconds(3);
    /// Lets a measurement see each event with its effects; empty for none.
    event_applier apply_event;
};

enum class caller_state : std::uint8_t
{
    opening,
    established,
    closed,
    /// Refused by the system before it was established.
    refused,
    /// Reset, misrouted or without any answer.
    broken,
};

struct caller_flow
{
    flow_id flow;
    endpoint destination;
    caller_state state = caller_state::opening;
    /// The upstream whose answer the caller took; all else must go there.
    upstream_id upstream;
    packet_phase waiting_for = packet_phase::opening;
    std::uint32_t attempts = 0;
    bool is_waiting = false;
    time_point retry_at;
};

struct fleet_counts
{
    std::size_t opening = 0;
    std::size_t established = 0;
    std::size_t closed = 0;
    std::size_t refused = 0;
    std::size_t broken = 0;
};

class fleet
{
public:
    explicit fleet(fleet_settings settings);
    ~fleet();

    /// Starts every VM and lets time pass until all serve; asserts that.
    void start();
    void run_for(duration length);

    void kill(vm_id vm);
    void pause(vm_id vm);
    void resume(vm_id vm);
    void leave(vm_id vm);
    void restart(vm_id vm);
    void add(fleet_vm const& vm);
    void cut(failure_domain_id first, failure_domain_id second);
    void heal();
    void publish(std::string const& name, std::string const& text);
    void set_platform_down(bool is_down);
    /// The platform answers with what it had at this moment, until reset.
    void set_platform_stale(bool is_stale);
    void kill_upstream(upstream_id upstream);
    /// Whether upstreams' answers to openings reach nobody.
    void set_answers_lost(bool are_lost);

    /// Opens a flow; the answer is its index.
    std::size_t open(endpoint const& destination);
    /// The caller opens anew from the ports of a flow that it gave up.
    void reopen(std::size_t flow);
    /// Sends data, or FIN, on an established flow.
    void send(std::size_t flow);
    void close(std::size_t flow);
    /// Lets every established flow send once, spread over the length.
    void let_all_send(duration length);

    [[nodiscard]] caller_flow const& flow(std::size_t index) const;
    [[nodiscard]] fleet_counts counts() const;
    [[nodiscard]] time_point now() const;
    [[nodiscard]] class reducer& reducer_of(vm_id vm);
    [[nodiscard]] bool is_up(vm_id vm) const;
    /// Openings that each upstream received, by distinct flow.
    [[nodiscard]] std::map<upstream_id, std::size_t> openings() const;
    /// Bytes of control effects so far, roughly, per VM.
    [[nodiscard]] std::size_t control_messages() const;
    [[nodiscard]] std::size_t peer_packets() const;
    [[nodiscard]] std::size_t reports(report_kind kind) const;
    [[nodiscard]] std::size_t drops(drop_reason reason) const;
    /// Packets that reached an upstream of another organisation's service.
    [[nodiscard]] std::size_t spilled() const;
    /// Flows of which more than one upstream got data.
    [[nodiscard]] std::size_t run_twice() const;

private:
    struct node;

    void schedule(time_point at, std::function<void()> action);
    void tick(vm_id vm);
    void deliver(vm_id vm, event::body_type body);
    void apply(node& target, event::body_type body);
    void carry_out(node& source, effect_list const& effects);
    void carry_out(node& source, send_to_upstream const& body);
    /// What only packets with tags lead to, which this fleet does not have.
    template <typename Tagged>
    void carry_out(node&, Tagged const&)
    {
        throw std::logic_error("a packet without a tag was handled as one");
    }
    void carry_out(node& source, send_to_peer const& body);
    void carry_out(node& source, refuse_opening const& body);
    void carry_out(node& source, drop_packet const& body);
    void carry_out(node& source, send_control const& body);
    void carry_out(node& source, watch_platform const& body);
    /// The platform of this fleet lists no upstreams.
    void carry_out(node&, read_upstreams const&)
    {
    }
    void carry_out(node& source, fetch_document const& body);
    void carry_out(node& source, probe_upstream const& body);
    void carry_out(node& source, observe_handshake const& body);
    void carry_out(node& source, leave_complete const& body);
    void carry_out(node& source, report const& body);
    void answer_watches();
    void answer_watch(vm_id vm);
    [[nodiscard]] bool may_reach(vm_id first, vm_id second) const;
    [[nodiscard]] node* find(vm_id vm);

    struct wire_packet
    {
        std::size_t flow = 0;
        packet_phase phase = packet_phase::ongoing;
    };
    void spray(std::size_t flow, packet_phase phase);
    void await_answer(std::size_t flow, packet_phase phase);
    void retry(std::size_t flow, packet_phase phase, std::uint32_t attempt);
    void arrive_at_upstream(upstream_id upstream, wire_packet packet);
    void answer_opening(std::size_t flow, upstream_id upstream);
    void answer_data(std::size_t flow);

    fleet_settings settings;
    std::mt19937_64 random;
    emulator::agenda time;
    std::map<vm_id, std::unique_ptr<node>> nodes;
    std::vector<vm_id> fabric_vms;
    std::set<std::pair<failure_domain_id, failure_domain_id>> cuts;

    struct published
    {
        std::string text;
        document_version version;
    };
    std::map<std::string, published> documents;
    std::map<std::string, published> stale_documents;
    platform_index current_index{1};
    platform_index stale_index{1};
    bool is_platform_down = false;
    bool is_platform_stale = false;
    std::map<vm_id, platform_index> watches;

    std::vector<caller_flow> flows;
    std::vector<wire_packet> packets;
    std::set<upstream_id> dead_upstreams;
    bool are_answers_lost = false;
    std::map<std::size_t, std::set<upstream_id>> openings_seen;
    std::map<std::size_t, std::set<upstream_id>> data_seen;
    std::map<report_kind, std::size_t> report_counts;
    std::map<drop_reason, std::size_t> drop_counts;
    std::size_t control_message_count = 0;
    std::size_t peer_packet_count = 0;
    std::size_t spilled_count = 0;
};

/// Documents of one organisation with one TCP service at
/// 198.51.100.1:8443 and `upstreams` upstreams from 127.0.16.1 on, shared
/// out over the domains.
struct sample_declarations
{
    std::vector<std::string> domains;
    std::size_t upstreams = 14;
    std::string prefer = "balance";
    std::string selector = "app=listings,!draining";
    /// Positions of upstreams with the label `draining`.
    std::set<std::size_t> draining;
    std::string limits;
    std::string organisation = "association";
    /// Third byte of the service's and the upstreams' addresses.
    std::uint32_t network = 16;
    std::uint32_t slots = 2;
    /// Of each upstream; zero means that none has a health endpoint.
    std::uint16_t health_port = 0;

    [[nodiscard]] std::string organisation_text() const;
    [[nodiscard]] endpoint address() const;
    [[nodiscard]] upstream_id upstream_at(std::size_t position) const;
};

/// The allotment for these organisations.
[[nodiscard]] std::string
allotment_text(std::vector<sample_declarations> const& organisations);

/// `count` VMs from 127.0.1.1 on, shared out over the domains.
[[nodiscard]] std::vector<fleet_vm>
sample_vms(std::size_t count, std::vector<std::string> const& domains);

/// Ready settings for a fleet with these declarations.
[[nodiscard]] fleet_settings sample_fleet(
    std::size_t vm_count,
    std::vector<std::string> const& domains,
    std::vector<sample_declarations> const& organisations);

} // namespace cairnhead::test
