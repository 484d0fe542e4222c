#pragma once

#include <event/effect.hpp>
#include <event/event.hpp>
#include <event/settings.hpp>
#include <model/directory.hpp>
#include <placement/candidate_set.hpp>
#include <placement/placement_policy.hpp>
#include <placement/report_spreader.hpp>
#include <placement/share_estimate.hpp>
#include <placement/upstream_state.hpp>

#include <absl/container/flat_hash_map.h>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <variant>

namespace cairnhead
{

/// The upstream that was chosen for an opening.
struct placed
{
    upstream_id upstream;
    /// Whether `predict` returns the same upstream for the flow.
    bool is_predicted = false;
};

/// The opening is refused because no upstream can take it now.
struct not_placed
{
    refusal_reason reason = refusal_reason::no_healthy_upstream;
    time_point retry_at;
};

using placement_result = std::variant<placed, not_placed>;

/// Chooses an upstream for each opening and tracks the health and load of all
/// upstreams.
/// Health and load come from what this VM observes itself (openings,
/// confirmations, retransmitted openings) and from reports, which have only a
/// bounded influence on the choice.
/// No method has a precondition unless its comment states one. None is
/// thread-safe: only the reducer's thread may call them.
class placement
{
public:
    /// Precondition: the periods and lifetimes in `settings` are above zero.
    placement(
        placement_settings const& settings,
        vm_identity const& self,
        std::uint64_t random_seed,
        placement_policy const& policy = {});

    /// Puts new declarations into force and keeps the previous directory as a
    /// retained version for `predict`. Upstreams that were not declared before
    /// begin a slow start, except at the first call.
    /// Precondition: `directory` is not null.
    void
    set_directory(time_point now, std::shared_ptr<directory const> directory);

    /// Sets the number of VMs that the openings are divided among, and the
    /// function that says whether a failure domain is reachable. Placement
    /// calls the function about ten times a second.
    /// Precondition: the function is not empty.
    void set_fleet(
        std::uint32_t vm_count,
        std::function<bool(failure_domain_id)> is_domain_reachable);

    /// Chooses an upstream for an opening without counting the flow;
    /// `flow_opened` counts it.
    /// Ejected upstreams and upstreams of an unreachable failure domain are not
    /// eligible. When all reachable upstreams are ejected, they all become
    /// eligible again, since a fault of this VM is more likely than a fault of
    /// all of them. When no upstream of a reachable domain is left, unreachable
    /// ones are eligible too.
    /// `retry_at` of a refusal is the end of an ejection or an estimate of when
    /// the next flow closes, plus a small jitter per flow.
    /// Precondition: `service` is in the current directory.
    [[nodiscard]] placement_result
    choose(time_point now, service const& service, flow_id flow);

    /// Returns the upstream that every retained version of the declarations
    /// yields for this flow without any per-flow state, or nothing where the
    /// versions differ. Ignores health, since VMs differ in what they observe.
    /// NOTE: A VM that joined recently retains fewer versions than the others
    /// and predicts an upstream where they would not. Ask the holders of pins
    /// first.
    [[nodiscard]] std::optional<upstream_id>
    predict(service const& service, flow_id flow) const;

    /// A pin to the upstream was added or removed on this VM, which owns the
    /// flow. Unknown upstreams are ignored.
    void flow_opened(time_point now, upstream_id upstream);
    void flow_closed(time_point now, upstream_id upstream);

    /// The caller confirmed the upstream's answer after `latency`. Unknown
    /// upstreams are ignored.
    void opening_confirmed(
        time_point now,
        upstream_id upstream,
        duration latency,
        effect_list& effects);

    /// The caller retransmitted an opening because the upstream had not
    /// answered by then. Unknown upstreams are ignored.
    void opening_retransmitted(
        time_point now, upstream_id upstream, effect_list& effects);

    /// Whether the upstream is excluded from new flows because it failed.
    [[nodiscard]] bool is_ejected(time_point now, upstream_id upstream) const;

    /// Starts the health probes that are due and sends changed reports to a few
    /// of `peers`. Only upstreams of this VM's own failure domain are probed;
    /// the domain's VMs divide the probes among themselves. `domain_vms` holds
    /// these VMs, this one included, sorted by id.
    void tick(
        time_point now,
        std::span<vm_id const> domain_vms,
        std::span<vm_id const> peers,
        effect_list& effects);

    /// Applies the result of this VM's own probe, or the reports of another VM.
    /// Reports about unknown upstreams and reports older than the latest one
    /// are ignored.
    void
    receive(time_point now, upstream_probed const& event, effect_list& effects);
    void receive(
        time_point now,
        vm_id sender,
        upstream_report_listing const& message,
        effect_list& effects);

    /// The state of one upstream, as `cairnhead upstreams` shows it.
    struct upstream_view
    {
        upstream_id upstream;
        std::uint32_t flows = 0;
        upstream_condition condition = upstream_condition::healthy;
        std::uint16_t reported_load_permille = 0;
        bool is_ejected = false;
        bool is_cold = false;
    };
    /// Returns all declared upstreams, sorted by id.
    [[nodiscard]] std::vector<upstream_view> views(time_point now) const;

private:
    /// Which upstreams may be chosen. None of the three includes draining ones.
    enum class eligibility : std::uint8_t
    {
        healthy,
        /// All reachable ones, ejected or not.
        reachable,
        /// All, reachable or not.
        any,
    };

    [[nodiscard]] upstream_state* find_state(upstream_id upstream);
    [[nodiscard]] upstream_state const* find_state(upstream_id upstream) const;

    void rebuild_states(time_point now, directory const& next);
    void rebuild_services(directory const& next);
    void
    apply_declaration(time_point now, upstream const& declared, bool is_first);
    [[nodiscard]] service_state
    make_service_state(directory const& next, service const& declared);

    void refresh_if_due(time_point now);
    void refresh(time_point now);
    void refresh_service(time_point now, service_state& service);
    [[nodiscard]] upstream_signals
    read_signals(time_point now, upstream_state const& state) const;
    void refresh_limits();

    /// Fills `candidates` with the eligible members; returns the first choice
    /// among all members.
    [[nodiscard]] std::optional<upstream_id> collect_candidates(
        time_point now,
        service_state const& service,
        flow_id flow,
        eligibility required);
    [[nodiscard]] bool is_eligible(
        time_point now,
        upstream_state const& state,
        eligibility required) const;
    [[nodiscard]] candidate const& pick_candidate(service const& service) const;
    [[nodiscard]] candidate const& pick_balanced() const;
    [[nodiscard]] candidate const& pick_bounded() const;
    [[nodiscard]] not_placed
    refuse(time_point now, service_state const* service, flow_id flow) const;
    [[nodiscard]] time_point
    find_retry_time(time_point now, service_state const& service) const;

    void eject_if_failing(
        time_point now, upstream_state& state, effect_list& effects);
    [[nodiscard]] bool
    may_eject(time_point now, upstream_state const& failing) const;
    void apply_report(
        time_point now, upstream_report const& report, effect_list& effects);

    placement_settings settings;
    vm_identity self;
    placement_policy policy;
    report_spreader spreader;
    std::uint32_t vm_count = 1;
    std::function<bool(failure_domain_id)> is_domain_reachable;
    std::shared_ptr<directory const> current;
    time_point next_refresh_at;
    std::vector<upstream_state> states;
    absl::flat_hash_map<upstream_id, std::size_t> state_by_id;
    std::vector<service_state> services;
    absl::flat_hash_map<service_id, std::size_t> service_by_id;
    /// The candidates of the opening that is being placed; reused to save an
    /// allocation for each opening.
    std::vector<candidate> candidates;
};

} // namespace cairnhead
