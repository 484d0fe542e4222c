#pragma once

#include <admission/admission.hpp>
#include <event/effect.hpp>
#include <event/event.hpp>
#include <event/settings.hpp>
#include <event/stop_timeline.hpp>
#include <membership/membership.hpp>
#include <ownership/ownership_table.hpp>
#include <pins/pin_table.hpp>
#include <placement/placement.hpp>
#include <rating/rating_exchange.hpp>
#include <reducer/flow_router.hpp>
#include <reducer/handover.hpp>
#include <reducer/leave_turn.hpp>
#include <reducer/reducer_view.hpp>
#include <tagging/tag_router.hpp>
#include <versions/version_store.hpp>

#include <memory>
#include <span>
#include <vector>

namespace cairnhead
{

/// Every decision of one VM: events in, effects out. Deterministic: the same
/// settings and events give the same effects. It has no clock, socket, thread
/// or unseeded random number, so a test, a benchmark and the daemon drive the
/// very same code.
/// Thread safety of all methods: none; one thread at a time.
class reducer
{
public:
    explicit reducer(reducer_settings const& settings);

    /// Applies one event and appends its effects in the order in which they
    /// are to be carried out. Precondition: the first event is `started`, and
    /// `now` never falls.
    void apply(event const& event, effect_list& effects);

    /// The same for a caller's packet, without making an `event` of it.
    void
    apply(time_point now, packet_arrived const& packet, effect_list& effects);

    /// What the command line client shows. Precondition: started.
    [[nodiscard]] reducer_view view(time_point now) const;

    /// What metrics count. Valid until the next event. Precondition: started.
    [[nodiscard]] reducer_gauges gauges(time_point now) const;

    /// Where a flow is and why. Precondition: started.
    [[nodiscard]] flow_explanation
    explain(time_point now, flow_id flow, endpoint const& destination) const;

    /// The declarations in force, with what peers may fetch.
    [[nodiscard]] version_store const& documents() const;

    /// When `deadline_reached` should come, if at all. No precondition.
    [[nodiscard]] std::optional<time_point> next_due() const;

    /// Whether callers may be sent to this VM: it knows the declarations, and
    /// it is not about to leave. Precondition: started.
    [[nodiscard]] bool is_ready() const;

    /// Whether packets of open flows can be forwarded: without the upstreams,
    /// those with tags can only be dropped. No precondition.
    [[nodiscard]] bool can_forward_flows() const;

    /// Whether openings can be placed: without the whole registry, those with
    /// tags can only be dropped. No precondition.
    [[nodiscard]] bool can_place_openings() const;

    /// The pins, for measurements and views.
    [[nodiscard]] pin_table const& pins() const;

private:
    void handle(time_point now, packet_arrived const& body, effect_list& out);
    void handle(time_point now, control_arrived const& body, effect_list& out);
    void handle(time_point now, tick const& body, effect_list& out);
    void handle(time_point now, deadline_reached const& body, effect_list& out);
    void handle(time_point now, upstream_checked const& body, effect_list& out);
    void handle(time_point now, seeds_changed const& body, effect_list& out);
    void handle(time_point now, started const& body, effect_list& out);
    void handle(time_point now, leave_requested const& body, effect_list& out);
    void handle(time_point now, platform_listed const& body, effect_list& out);
    void handle(time_point now, platform_failed const& body, effect_list& out);
    void handle(time_point now, platform_answered const&, effect_list& out);
    void handle(time_point now, document_fetched const& body, effect_list& out);
    void
    handle(time_point now, document_fetch_failed const& body, effect_list& out);
    void handle(time_point now, upstreams_read const& body, effect_list& out);
    void handle(time_point now, upstream_probed const& body, effect_list& out);

    void receive(
        time_point now, vm_id sender, ping const& message, effect_list& out);
    void receive(
        time_point now,
        vm_id sender,
        ping_answer const& message,
        effect_list& out);
    void receive(
        time_point now,
        vm_id sender,
        ping_request const& message,
        effect_list& out);
    void receive(
        time_point now,
        vm_id sender,
        member_listing const& message,
        effect_list& out);
    void receive(
        time_point now,
        vm_id sender,
        document_listing const& message,
        effect_list& out);
    void receive(
        time_point now,
        vm_id sender,
        registry_change const& message,
        effect_list& out);
    void receive(
        time_point now,
        vm_id sender,
        reading_heartbeat const& message,
        effect_list& out);
    void receive(
        time_point now,
        vm_id sender,
        reading_attempt const& message,
        effect_list& out);
    void receive(
        time_point now,
        vm_id sender,
        join_request const& message,
        effect_list& out);
    void receive(
        time_point now,
        vm_id sender,
        join_referral const& message,
        effect_list& out);
    void receive(
        time_point now,
        vm_id sender,
        pin_batch const& message,
        effect_list& out);
    void receive(
        time_point now,
        vm_id sender,
        upstream_report_listing const& message,
        effect_list& out);
    void receive(
        time_point now,
        vm_id sender,
        flow_lookup const& message,
        effect_list& out);
    void receive(
        time_point now,
        vm_id sender,
        flow_binding const& message,
        effect_list& out);
    void receive(
        time_point now,
        vm_id sender,
        upstream_observation_listing const& message,
        effect_list& out);
    void receive(
        time_point now,
        vm_id sender,
        upstream_rating_listing const& message,
        effect_list& out);

    [[nodiscard]] bool is_tagged() const;
    [[nodiscard]] bool uses_ratings() const;
    [[nodiscard]] bool takes_ratings_of(vm_id sender) const;
    [[nodiscard]] std::optional<rated_upstream>
    find_rated(upstream_tag tag) const;
    void exchange_ratings(time_point now, effect_list& out);
    void report_outlier(
        time_point now, ejection_change const& change, effect_list& out) const;
    [[nodiscard]] flow_explanation explain_tagged(
        time_point now, flow_id flow, endpoint const& destination) const;
    [[nodiscard]] routing_context context();
    [[nodiscard]] placing_permission permission(time_point now) const;
    [[nodiscard]] serving_state state() const;
    void notice_pause(time_point now, effect_list& out);
    void refresh(time_point now, effect_list& out);
    void join_when_caught_up(time_point now, effect_list& out);
    void apply_membership_changes(time_point now);
    [[nodiscard]] std::vector<vm_id> choose_flow_peers() const;
    void note_early_peer(vm_id vm);
    void rebuild_ownership_history(
        time_point now, std::span<ownership_candidate const> candidates);
    void apply_document_changes(time_point now);
    void update_permission(time_point now, effect_list& out);
    void ask_domains(effect_list& out);
    void leave_unjoined(time_point now, effect_list& out);
    void leave_in_turn(time_point now, effect_list& out);
    void begin_leave(time_point now, effect_list& out);
    void report_domains(time_point now, effect_list& out);
    [[nodiscard]] std::vector<ownership_candidate> owners() const;

    reducer_settings settings;
    membership members;
    ownership_table ownership;
    pin_table pin_store;
    version_store versions;
    placement placer;
    admission admitter;
    prediction_gate predictions;
    leave_turn turn;
    /// Of the latest request to stop.
    stop_timeline stop;
    handover handing_over;
    tag_router tagged;
    rating_exchange ratings;
    std::shared_ptr<directory const> declarations;

    std::uint64_t applied_membership = ~std::uint64_t(0);
    std::uint64_t applied_documents = ~std::uint64_t(0);
    std::vector<vm_id> domain_vms;
    std::vector<vm_id> peer_vms;
    /// Seeds, and VMs that said something before this VM had joined. Callers'
    /// packets come that early, too.
    std::vector<vm_id> early_peers;
    std::vector<vm_id> hints_before_join;
    /// An event that comes after this shows that the process was paused.
    time_point lease_ends_at;
    incarnation first_life;
    time_point started_at;
    /// When it had all documents.
    std::optional<time_point> caught_up_at;
    placing_permission current_permission = placing_permission::joining;
    bool has_joined = false;
};

} // namespace cairnhead
