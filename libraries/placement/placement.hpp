#pragma once

#include <event/effect.hpp>
#include <event/event.hpp>
#include <event/settings.hpp>
#include <model/directory.hpp>

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
    placement(
        placement_settings const& settings,
        vm_identity const& self,
        std::uint64_t random_seed);

    /// New declarations are in force. Upstreams that were not there before
    /// start cold, except at the first call. Precondition: not null. Keeps
    /// the previous directory as the retained version for `predict`.
    void
    set_directory(time_point now, std::shared_ptr<directory const> directory);

    /// How many VMs share the openings, and whether a domain is reachable.
    void set_fleet(
        std::uint32_t vm_count,
        std::function<bool(failure_domain_id)> is_domain_reachable);

    /// Chooses an upstream for an opening; does not yet count it.
    /// Precondition: the service is of the current directory.
    [[nodiscard]] placement_result
    choose(time_point now, service const& service, flow_id flow);

    /// The upstream that every retained version of the declarations gives for
    /// this flow without any state, or nothing where they differ. Looks at no
    /// health, since VMs differ in that.
    [[nodiscard]] std::optional<upstream_id>
    predict(service const& service, flow_id flow) const;

    /// A pin to the upstream was added or removed on this VM as its owner.
    void flow_opened(time_point now, upstream_id upstream);
    void flow_closed(time_point now, upstream_id upstream);

    /// The caller confirmed the upstream's answer after `latency`.
    void opening_confirmed(
        time_point now,
        upstream_id upstream,
        duration latency,
        effect_list& effects);

    /// The caller repeated an opening: the upstream had not answered by then.
    void opening_repeated(
        time_point now, upstream_id upstream, effect_list& effects);

    /// Whether the upstream takes no new work because it failed.
    [[nodiscard]] bool is_ejected(time_point now, upstream_id upstream) const;

    /// Starts due probes of upstreams in the own failure domain, shared among
    /// its VMs (`domain_vms`, self included, sorted by id), and spreads fresh
    /// reports to a few of `peers`.
    void tick(
        time_point now,
        std::span<vm_id const> domain_vms,
        std::span<vm_id const> peers,
        effect_list& effects);

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
    [[nodiscard]] std::vector<upstream_view> views(time_point now) const;

private:
    placement_settings settings;
    vm_identity self;
    // The implementation adds its state here.
};

} // namespace cairnhead
