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

/// An upstream was chosen.
struct placed
{
    upstream_id upstream;
    /// Whether it is the upstream that `predict` gives.
    bool is_predicted = false;
};

/// No upstream may take the opening now.
struct not_placed
{
    refusal_reason reason = refusal_reason::no_healthy_upstream;
    time_point retry_at;
};

using placement_result = std::variant<placed, not_placed>;

/// Chooses upstreams for openings, and learns their health and load from
/// what this VM sees itself (openings, confirmations, repeated openings) and
/// from discounted reports.
/// Thread safety of all methods: none; one thread, the reducer's.
class placement
{
public:
    /// Precondition: the periods and lifetimes in `settings` are above zero.
    placement(
        placement_settings const& settings,
        vm_identity const& self,
        std::uint64_t random_seed,
        placement_policy const& policy = {});

    /// New declarations are in force. Upstreams that were not there before
    /// start cold, except at the first call. Precondition: not null. Keeps
    /// the previous directory as the retained version for `predict`.
    void
    set_directory(time_point now, std::shared_ptr<directory const> directory);

    /// How many VMs share the openings, and whether a domain is reachable.
    /// The function is asked again about ten times a second.
    /// Precondition: the function is not empty.
    void set_fleet(
        std::uint32_t vm_count,
        std::function<bool(failure_domain_id)> is_domain_reachable);

    /// Chooses an upstream for an opening; does not yet count it.
    /// An upstream of an unreachable failure domain or an ejected one takes
    /// nothing; when all reachable ones are ejected the observer is more
    /// likely at fault than all of them, and they are all asked again.
    /// `retry_at` is when an ejection ends, or an estimate of when the next
    /// flow closes, spread a little over the callers.
    /// Precondition: the service is of the current directory.
    [[nodiscard]] placement_result
    choose(time_point now, service const& service, flow_id flow);

    /// The upstream that every retained version of the declarations gives for
    /// this flow without any state, or nothing where they differ. Looks at no
    /// health, since VMs differ in that. No precondition.
    /// NOTE: a VM that joined lately retains fewer versions than the others
    /// and predicts where they would not; ask holders of pins first.
    [[nodiscard]] std::optional<upstream_id>
    predict(service const& service, flow_id flow) const;

    /// A pin to the upstream was added or removed on this VM as its owner.
    /// No precondition; unknown upstreams are ignored.
    void flow_opened(time_point now, upstream_id upstream);
    void flow_closed(time_point now, upstream_id upstream);

    /// The caller confirmed the upstream's answer after `latency`.
    /// No precondition; unknown upstreams are ignored.
    void opening_confirmed(
        time_point now,
        upstream_id upstream,
        duration latency,
        effect_list& effects);

    /// The caller repeated an opening: the upstream had not answered by then.
    /// No precondition; unknown upstreams are ignored.
    void opening_repeated(
        time_point now, upstream_id upstream, effect_list& effects);

    /// Whether the upstream takes no new work because it failed.
    /// No precondition.
    [[nodiscard]] bool is_ejected(time_point now, upstream_id upstream) const;

    /// Starts due probes of upstreams in the own failure domain, shared among
    /// its VMs (`domain_vms`, self included, sorted by id), and spreads fresh
    /// reports to a few of `peers`. No precondition.
    void tick(
        time_point now,
        std::span<vm_id const> domain_vms,
        std::span<vm_id const> peers,
        effect_list& effects);

    /// Takes in this VM's own probe, or another VM's. Reports about unknown
    /// upstreams and reports older than what is known are ignored.
    /// No precondition.
    void
    receive(time_point now, upstream_probed const& event, effect_list& effects);
    void receive(
        time_point now,
        vm_id sender,
        upstream_report_listing const& message,
        effect_list& effects);

    /// For `cairnhead upstreams`.
    struct upstream_view
    {
        upstream_id upstream;
        std::uint32_t flows = 0;
        upstream_condition condition = upstream_condition::healthy;
        std::uint16_t reported_load_permille = 0;
        bool is_ejected = false;
        bool is_cold = false;
    };
    /// All declared upstreams, sorted by id. No precondition.
    [[nodiscard]] std::vector<upstream_view> views(time_point now) const;

private:
    /// Which upstreams are asked.
    enum class asked : std::uint8_t
    {
        healthy,
        /// All that are reachable and do not leave, ejected or not.
        reachable,
        /// All that do not leave.
        any,
    };

    [[nodiscard]] upstream_state* find_state(upstream_id upstream);
    [[nodiscard]] upstream_state const* find_state(upstream_id upstream) const;

    void rebuild_states(time_point now, directory const& next);
    void rebuild_services(directory const& next);
    void declare(time_point now, upstream const& declared, bool is_first);
    [[nodiscard]] service_state
    make_service_state(directory const& next, service const& declared);

    void refresh_if_due(time_point now);
    void refresh(time_point now);
    void refresh_service(time_point now, service_state& service);
    [[nodiscard]] upstream_signals
    read_signals(time_point now, upstream_state const& state) const;
    void refresh_limits();

    /// Fills `candidates`; returns the first choice among all members.
    [[nodiscard]] std::optional<upstream_id> collect(
        time_point now, service_state const& service, flow_id flow, asked whom);
    [[nodiscard]] bool
    may_take(time_point now, upstream_state const& state, asked whom) const;
    [[nodiscard]] candidate const& pick(service const& service) const;
    [[nodiscard]] candidate const& pick_balanced() const;
    [[nodiscard]] candidate const& pick_predicted() const;
    [[nodiscard]] not_placed
    refuse(time_point now, service_state const* service, flow_id flow) const;
    [[nodiscard]] time_point
    find_retry(time_point now, service_state const& service) const;

    void eject_if_failing(
        time_point now, upstream_state& state, effect_list& effects);
    [[nodiscard]] bool
    may_eject(time_point now, upstream_state const& failing) const;
    void take_report(
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
    /// The candidates of the opening that is being placed; kept to save an
    /// allocation for each.
    std::vector<candidate> candidates;
};

} // namespace cairnhead
