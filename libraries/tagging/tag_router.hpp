#pragma once

#include <event/effect.hpp>
#include <event/event.hpp>
#include <event/settings.hpp>
#include <rating/domain_answer_times.hpp>
#include <rating/rating_table.hpp>
#include <rating/request_deadlines.hpp>
#include <rating/request_observation.hpp>
#include <rating/route_baseline.hpp>
#include <registry/registry_snapshot.hpp>
#include <tagging/confirmation_tracker.hpp>
#include <tagging/contested_openings.hpp>
#include <tagging/domain_reachability.hpp>
#include <tagging/flow_bindings.hpp>
#include <tagging/held_packets.hpp>
#include <tagging/message_budget.hpp>
#include <tagging/pause_detector.hpp>
#include <tagging/pending_openings.hpp>
#include <tagging/priority_admission.hpp>
#include <tagging/queue_delay_control.hpp>
#include <tagging/spill_control.hpp>
#include <tagging/tagged_flows.hpp>
#include <tagging/tagged_upstreams.hpp>

#include <absl/container/flat_hash_map.h>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace cairnhead
{

/// The document versions of the registry's three listings.
struct registry_versions
{
    document_version routes;
    document_version upstreams;
    document_version evacuations;
};

/// The upstream of a flow, and the upstreams that a new flow could get.
struct tagged_explanation
{
    /// Null when no route has the address.
    published_route const* route = nullptr;
    /// The pool from which a flow between these addresses gets its upstream.
    std::string pool;
    /// The flow's upstream; null for a flow that has no entry at this VM.
    tagged_upstream const* current = nullptr;
    /// Sorted: a new flow gets the first one.
    std::vector<upstream_candidate> candidates;
};

/// Routes the packets of flows that carry tags: places each opening at an
/// upstream, and forwards every other packet to the upstream that its tag
/// names.
///
/// A flow needs neither an owner nor a replica of its state. Every VM can
/// route each of its packets by the tag, so planned changes and crashes of VMs
/// break no flow. Only a provisional tag may name an upstream that does not
/// hold the flow: it comes from the answer to an opening, and several upstreams
/// may have got that. A VM that does not know the flow then asks other VMs.
/// No method has a precondition unless its comment states one; none is
/// thread-safe: only the reducer's thread calls them.
class tag_router
{
public:
    /// Precondition: the settings outlive the object.
    tag_router(
        tagging_settings const& settings,
        failure_domain_id own,
        std::uint64_t seed);

    /// Puts new listings in force; null ones are ignored.
    void set_listings(
        time_point now,
        registry_contents contents,
        registry_versions versions = {});

    /// Forwards packets of open flows by this listing until the upstreams'
    /// document is there; ignored from then on. It may be seconds old, which
    /// does no harm to open flows: each packet names the instance that it is
    /// meant for.
    void set_early_upstreams(
        time_point now, std::shared_ptr<upstream_listing const> listing);

    /// Sets the VMs of the own failure domain, including this one; empty while
    /// they are not known.
    void set_domain_vms(vm_id self, std::span<vm_id const> vms);

    /// Sets the VMs that are asked about flows, and are told about contested
    /// ones: those to which flows may move.
    void set_peers(std::span<vm_id const> peers);

    /// Routes a packet; appends exactly one packet effect for its token.
    /// Precondition: the packet carries a tag.
    void
    route(time_point now, packet_arrived const& packet, effect_list& effects);

    /// Does the work that is due: sends packets whose lookup was not answered,
    /// retries openings that no caller confirmed, updates which failure domains
    /// are reachable, and starts checks of upstreams.
    void advance(time_point now, effect_list& effects);

    /// When `advance` has to be called next; nothing if no work is pending.
    [[nodiscard]] std::optional<time_point> next_due() const;

    /// Records that a VM of the failure domain sent a message.
    void record_domain_message(time_point now, failure_domain_id domain);

    /// Handles the result of a check of an upstream.
    void receive(
        time_point now, upstream_checked const& result, effect_list& effects);

    /// Answers another VM that asks for the upstream of a flow, if it is known.
    void receive(
        time_point now,
        vm_id sender,
        flow_lookup const& asked,
        effect_list& effects);

    /// Records the upstream of a flow as another VM told it, and sends the
    /// flow's packets that waited for it.
    void
    receive(time_point now, flow_binding const& told, effect_list& effects);

    /// The failure domains whose reachability has come into question since the
    /// last call, and whose VMs therefore have to be probed.
    [[nodiscard]] std::vector<failure_domain_id> take_domains_to_probe();

    /// The requests that ended since the last call, or that were found
    /// unanswered, for the ratings of their upstreams. Only the first thousand.
    /// Empty unless the settings call for ratings.
    [[nodiscard]] std::vector<request_observation> take_observations();

    /// Puts a rating in force.
    void apply_rating(time_point now, upstream_rating const& rating);

    /// Number of ratings in force.
    [[nodiscard]] std::size_t count_ratings(time_point now) const;

    /// The upstream with this tag, or nullptr; valid until the next event.
    [[nodiscard]] tagged_upstream const* find_upstream(upstream_tag tag) const;

    /// The upstream's rating in force, if any.
    [[nodiscard]] std::optional<upstream_rating>
    rating_of(time_point now, upstream_tag upstream) const;

    /// Removes expired flows and upstreams, and has unreachable upstreams and
    /// failure domains checked again.
    void tick(time_point now, effect_list& effects);

    /// Whether all listings were received. Until then openings are dropped.
    [[nodiscard]] bool is_informed() const;

    /// Whether packets of open flows can be forwarded: their tags name
    /// upstreams, and neither routes nor evacuations are needed.
    [[nodiscard]] bool knows_upstreams() const;

    /// The versions of the listings in force, and since when they are.
    [[nodiscard]] registry_knowledge const& registry() const;

    /// The evacuated failure domains; valid until the next listing.
    [[nodiscard]] std::span<std::string const> evacuated_domains() const;

    /// The failure domain's name, for people; empty when no upstream is in it.
    [[nodiscard]] std::string name_of(failure_domain_id domain) const;

    /// All upstreams that this VM knows, for status views.
    [[nodiscard]] std::span<tagged_upstream const> upstreams() const;

    /// The upstreams in the registry, with their state as this VM sees it.
    [[nodiscard]] std::vector<upstream_candidate>
    registered_upstreams(time_point now) const;

    /// Explains where a flow goes. Valid until the next event.
    [[nodiscard]] tagged_explanation
    explain(time_point now, flow_id flow, endpoint const& destination) const;

    /// How many flows have an entry at this VM.
    [[nodiscard]] std::size_t flow_count() const;

private:
    /// The two addresses that a flow connects, taken from its packets.
    struct flow_ends
    {
        endpoint caller;
        endpoint destination;
    };

    /// Whether another upstream may have got a flow's opening before.
    enum class opening_history : std::uint8_t
    {
        first_offer,
        offered_before,
    };

    enum class tag_certainty : std::uint8_t
    {
        certain,
        /// The packet is the first one after an opening that this VM does not
        /// know. The tag is right unless another VM knows better.
        provisional,
        /// Another upstream may hold the flow, and this VM cannot know.
        ambiguous,
    };

    /// The upstream that holds a flow, as far as this VM knows.
    struct named_upstream
    {
        /// Null if the packet's tag names none.
        tagged_upstream* upstream = nullptr;
        flow_rule rule = flow_rule::named_by_tag;
        tag_certainty certainty = tag_certainty::certain;
    };

    /// How a pool copes with its load.
    struct pool_load
    {
        spill_control spill;
        priority_admission admission;
        /// When this VM last got an opening of the pool.
        time_point opened_at;
        /// The usual answer time of the route that was opened last, of those
        /// whose usual time is known.
        duration usual_time{};
        /// Sorted.
        std::vector<failure_domain_id> spill_to;
    };

    void route_opening(
        time_point now, packet_arrived const& packet, effect_list& effects);
    /// Forgets what other VMs told, and the packets held, of an earlier flow
    /// between the same ports.
    void forget_earlier_flow(flow_id flow);
    void route_retransmission(
        time_point now,
        packet_arrived const& packet,
        tagged_flow& flow,
        effect_list& effects);
    void place_opening(
        time_point now,
        packet_arrived const& packet,
        upstream_tag excluded,
        effect_list& effects);
    [[nodiscard]] upstream_choice choose(
        time_point now,
        published_route const& route,
        flow_id flow,
        upstream_tag excluded);
    [[nodiscard]] flow_decision make_decision(
        flow_step step,
        flow_rule rule,
        flow_id flow,
        flow_ends const& ends,
        tagged_upstream const* upstream) const;
    [[nodiscard]] flow_decision make_decision(
        flow_step step,
        flow_id flow,
        flow_ends const& ends,
        upstream_choice const& choice) const;
    void drop(
        packet_arrived const& packet,
        drop_reason reason,
        flow_rule rule,
        effect_list& effects) const;
    void refuse(
        time_point now,
        packet_arrived const& packet,
        upstream_choice const& choice,
        effect_list& effects) const;
    void add_opening(
        time_point now,
        flow_id flow,
        flow_ends const& ends,
        std::uint32_t sequence,
        tagged_upstream& chosen,
        opening_history history);
    void send_opening(
        packet_arrived const& packet,
        tagged_upstream const& upstream,
        effect_list& effects) const;
    void schedule_retry(time_point now, packet_arrived const& packet);
    void retry_opening(
        time_point now, pending_opening opening, effect_list& effects);
    void
    apply_listing(time_point now, std::shared_ptr<route_listing const> listing);
    void apply_listing(
        time_point now, std::shared_ptr<upstream_listing const> listing);
    void apply_listing(
        time_point now, std::shared_ptr<evacuation_listing const> listing);
    void forget_early_upstreams();
    void count_flows_again();
    void report_reachability_changes(effect_list& effects);
    void start_due_checks(time_point now, effect_list& effects);
    void suspect_upstreams_of(failure_domain_id domain);
    void recheck_unreachable(time_point now);
    void reset_flows_of(
        time_point now,
        tagged_upstream const& upstream,
        flow_rule rule,
        effect_list& effects);
    void reset_flows_of_replaced(time_point now, effect_list& effects);
    void reset_flow_of_packet(
        packet_arrived const& packet,
        tagged_upstream const& upstream,
        effect_list& effects);
    void route_by_tag(
        time_point now, packet_arrived const& packet, effect_list& effects);
    [[nodiscard]] named_upstream upstream_of(packet_arrived const& packet);
    /// The same for a provisional tag, of a flow that no VM has told of.
    [[nodiscard]] named_upstream
    upstream_of_provisional(packet_arrived const& packet);
    /// The upstream that a tag names which came from the answer to an opening
    /// with this sequence number, whatever the standing. Null if none.
    [[nodiscard]] tagged_upstream*
    find_offered(upstream_tag tag, std::uint32_t opening_sequence);
    /// Holds the packet and asks other VMs for the flow's upstream. False where
    /// that is not possible.
    [[nodiscard]] bool hold(
        time_point now,
        packet_arrived const& packet,
        named_upstream const& named,
        effect_list& effects);
    /// Sends the flow's packets whose upstream is known or whose tag may be
    /// believed, and drops the others.
    void release(time_point now, held_flow released, effect_list& effects);
    void release_due(time_point now, effect_list& effects);
    void send_held(
        time_point now,
        held_packet const& packet,
        tagged_upstream& upstream,
        flow_rule rule,
        effect_list& effects);
    [[nodiscard]] std::optional<upstream_tag>
    find_binding(flow_lookup const& asked) const;
    void give_up_opening(
        time_point now,
        vm_id sender,
        flow_lookup const& asked,
        upstream_tag confirmed,
        effect_list& effects);
    void record_binding(
        time_point now,
        flow_id flow,
        upstream_tag upstream,
        std::uint32_t acknowledged);
    void tell_binding(
        time_point now, packet_arrived const& packet, effect_list& effects);
    void tell_peers(control_body const& message, effect_list& effects) const;
    /// Records that a further upstream got an opening, and tells the earlier
    /// one by its tag.
    void record_further_offer(
        time_point now, opening_offer const& offer, effect_list& effects);
    /// Ends the choice between the upstreams that got an opening.
    void settle_opening(
        time_point now,
        flow_id flow,
        upstream_tag confirmed,
        effect_list& effects);
    /// Handles a packet that was sent to the flow's upstream and may carry the
    /// tag of another one that got the opening.
    void correct_tag_of(
        time_point now,
        packet_arrived const& packet,
        tagged_upstream const& upstream,
        effect_list& effects);
    /// Has the other upstreams that got the opening answer it with the tag of
    /// the confirmed one.
    void correct_tags(
        time_point now, contested_opening& opening, effect_list& effects);
    void check_now(
        time_point now,
        packet_arrived const& packet,
        tagged_upstream& upstream);
    void update_flow(
        time_point now,
        packet_arrived const& packet,
        tagged_upstream& upstream,
        flow_rule rule,
        effect_list& effects);
    void confirm_opening(
        time_point now,
        flow_id id,
        tagged_flow& flow,
        tagged_upstream& upstream,
        effect_list& effects);
    [[nodiscard]] tagged_flow* find_or_add_flow(
        time_point now,
        packet_arrived const& packet,
        upstream_tag tag,
        flow_rule rule,
        effect_list& effects);
    void record_progress(
        time_point now,
        packet_arrived const& packet,
        tagged_flow& flow,
        tagged_upstream& upstream,
        effect_list& effects);
    void record_retransmission(
        time_point now,
        packet_arrived const& packet,
        tagged_flow const& flow,
        tagged_upstream& upstream,
        effect_list& effects);
    /// Records how long the request took that was answered just now.
    void record_answer_delay(
        time_point now,
        endpoint const& destination,
        tagged_flow const& flow,
        tagged_upstream const& upstream);
    void record_answer(time_point at, tagged_upstream& upstream);
    void add_ratings(time_point now, std::span<upstream_candidate> shown) const;
    /// Finds out whether the packet begins or ends a request.
    void time_request(
        time_point now,
        packet_arrived const& packet,
        tagged_flow& flow,
        tagged_upstream const& upstream);
    void observe_answer(
        time_point now,
        tagged_flow& flow,
        tagged_upstream const& upstream,
        route_baseline& baseline,
        request_timer::packet_findings const& found);
    void observe_unanswered(
        time_point now,
        tagged_flow& flow,
        tagged_upstream const& upstream,
        route_baseline const& baseline);
    void observe_overdue_requests(time_point now);
    void add_observation(request_observation const& seen);
    /// Forgets how an upstream performed before it restarted.
    void forget_performance(upstream_tag restarted);
    /// Whether spill and admission by priority apply to the route.
    [[nodiscard]] bool follows_answer_times(published_route const& route) const;
    [[nodiscard]] flow_length
    flow_length_of(time_point now, published_route const& route) const;
    [[nodiscard]] opening_kind
    kind_of(time_point now, published_route const& route, flow_id flow) const;
    /// Records an opening that no VM has placed before, and adapts the spill of
    /// its pool.
    void record_load(
        time_point now,
        published_route const& route,
        flow_id flow,
        effect_list& effects);
    /// Forgets pools that get no openings any more, and ends their spill.
    void forget_idle_loads(time_point now, effect_list& effects);
    void update_spill(time_point now, std::string_view pool, pool_load& load);
    /// Adds what is known of other failure domains, and lists those to which
    /// openings may be spilled.
    void add_other_domains(
        time_point now,
        std::string_view pool,
        std::span<failure_domain_id const> others,
        spill_evidence& evidence,
        std::vector<failure_domain_id>& spill_to) const;
    /// Nothing if the latest answer is older than `lifetime`.
    [[nodiscard]] std::optional<mean_answer_time> mean_answer_of(
        time_point now,
        std::string_view pool,
        failure_domain_id domain,
        duration lifetime) const;
    void report_spill(
        time_point now,
        std::string_view pool,
        pool_load const& load,
        effect_list& effects) const;
    /// The rule by which the opening is refused, as requests of its pool wait;
    /// nothing if it is admitted.
    [[nodiscard]] std::optional<flow_rule> refusal_for_delay(
        time_point now,
        packet_arrived const& packet,
        published_route const& route);
    /// Whether another VM may have placed the original of a retransmitted
    /// opening, or the caller's retransmission of this one.
    [[nodiscard]] static bool
    may_be_placed_elsewhere(packet_arrived const& packet);
    void record_unanswered(
        time_point now, tagged_upstream& upstream, effect_list& effects);
    void avoid(time_point now, tagged_upstream& upstream, effect_list& effects);
    [[nodiscard]] std::vector<report_fact>
    evidence_of(time_point now, tagged_upstream const& upstream) const;
    void suspect(time_point now, tagged_upstream& upstream);
    [[nodiscard]] bool
    is_check_due(time_point now, tagged_upstream const& suspect) const;
    void
    start_check(time_point now, tagged_upstream& suspect, effect_list& effects);
    void add_flow(flow_id flow, tagged_flow const& added);
    void remove_flow(flow_id flow);
    void remove_flows_of(upstream_tag restarted);
    void decrement_flow_count(tagged_flow const& flow);
    [[nodiscard]] duration idle_timeout() const;
    [[nodiscard]] std::string_view
    pool_of(published_route const& route, flow_id flow) const;
    static void send_copy_of_opening(
        std::span<std::uint8_t const> bytes,
        tagged_upstream const& upstream,
        upstream_tag tag,
        effect_list& effects);
    static void send(
        packet_arrived const& packet,
        tagged_upstream const& upstream,
        upstream_tag tag,
        effect_list& effects);

    tagging_settings const& settings;
    failure_domain_id own_domain;
    std::shared_ptr<route_listing const> routes;
    std::shared_ptr<upstream_listing const> listed_upstreams;
    /// Null once the listing above is there.
    std::shared_ptr<upstream_listing const> early_upstreams;
    std::shared_ptr<evacuation_listing const> evacuations;
    /// Versions of the listings above, and since when each is in force.
    registry_knowledge in_force;
    absl::flat_hash_map<endpoint, published_route const*> route_by_address;
    domain_reachability domains;
    tagged_upstreams upstream_table;
    rating_table ratings;
    std::vector<request_observation> observations;
    /// By the address of the route; references stay valid when others are
    /// added.
    std::unordered_map<endpoint, route_baseline, absl::Hash<endpoint>>
        baselines;
    domain_answer_times answer_times;
    request_deadlines waiting_requests;
    tagged_flows flows;
    pending_openings unconfirmed;
    confirmation_tracker confirmations;
    contested_openings contested;
    flow_bindings bindings;
    held_packets held;
    message_budget budget;
    std::vector<vm_id> peers;
    pause_detector pauses;
    /// By pool.
    std::map<std::string, queue_delay_control, std::less<>> delay_controls;
    /// By pool; of pools with a route that declares a priority.
    std::map<std::string, pool_load, std::less<>> pool_loads;
    /// Upstreams whose address another upstream has taken over, and whose flows
    /// have not been reset yet.
    std::vector<upstream_tag> replaced_upstreams;
    /// Upstreams that may need a check; emptied by `start_due_checks`.
    std::vector<upstream_tag> suspects;
    time_point next_cleaning_at;
};

} // namespace cairnhead
