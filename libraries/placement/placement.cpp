#include <placement/placement.hpp>

#include <base/hash.hpp>
#include <base/ipv4.hpp>
#include <placement/probe_schedule.hpp>

#include <algorithm>
#include <limits>
#include <tuple>

namespace cairnhead
{

namespace
{

/// How often the shares of all upstreams are computed.
constexpr duration refresh_period = std::chrono::milliseconds(100);
/// Minimum interval between two loads of one upstream that are sent to peers.
/// Changed conditions are sent at once.
constexpr duration minimum_load_interval = std::chrono::seconds(3);
/// Retries of refused callers are spread over this time, so that they do not
/// all arrive at once.
constexpr duration retry_jitter = std::chrono::seconds(1);
/// Retry delay while there is no estimate of when an upstream can take flows.
constexpr duration unknown_retry_delay = std::chrono::seconds(5);
/// Bounds of the estimate of when a full upstream can take the next flow.
constexpr duration minimum_full_retry_delay = std::chrono::seconds(1);
constexpr duration maximum_full_retry_delay = std::chrono::seconds(30);
/// A new interval has a weight of one eighth in the moving average.
constexpr duration::rep close_interval_divisor = 8;
/// An owner's limit is 1/16 above an even share of an upstream's connections:
/// the flow hash does not spread flows over owners evenly, and without the
/// slack an owner would consider an upstream full that still has room.
constexpr std::uint64_t share_slack_divisor = 16;
/// Flows per slot above the mean that `prefer: continuity` always allows: with
/// few flows the ratio to the mean says nothing.
constexpr double continuity_slack = 1.0;
constexpr std::uint32_t whole_percent = 100;

template <typename Duration>
std::optional<double> to_seconds(std::optional<Duration> value)
{
    if (!value)
    {
        return std::nullopt;
    }
    return std::chrono::duration<double>(*value).count();
}

std::string to_text(upstream_id upstream)
{
    return format_ipv4(ipv4_address(upstream.value()));
}

} // namespace

placement::placement(
    placement_settings const& initial_settings,
    vm_identity const& own_identity,
    std::uint64_t random_seed,
    placement_policy const& initial_policy)
    : settings(initial_settings), self(own_identity), policy(initial_policy),
      spreader(own_identity.id, random_seed)
{
    this->is_domain_reachable = [](failure_domain_id)
    {
        return true;
    };
}

void placement::set_directory(
    time_point now, std::shared_ptr<directory const> next)
{
    this->rebuild_states(now, *next);
    this->rebuild_services(*next);
    this->current = std::move(next);
    this->refresh_limits();
    this->refresh(now);
}

void placement::set_fleet(
    std::uint32_t count, std::function<bool(failure_domain_id)> is_reachable)
{
    this->vm_count = std::max(count, std::uint32_t{1});
    this->is_domain_reachable = std::move(is_reachable);
    this->refresh_limits();
    // Forces the next event to compute the shares again.
    this->next_refresh_at = time_point{};
}

placement_result
placement::choose(time_point now, service const& service, flow_id flow)
{
    this->refresh_if_due(now);
    auto const found = this->service_by_id.find(service.id);
    if (found == this->service_by_id.end())
    {
        return this->refuse(now, nullptr, flow);
    }
    auto const& state = this->services[found->second];
    auto const preferred =
        this->collect_candidates(now, state, flow, eligibility::healthy);
    if (this->candidates.empty())
    {
        std::ignore =
            this->collect_candidates(now, state, flow, eligibility::reachable);
    }
    if (this->candidates.empty())
    {
        // A failure domain whose entry VMs are unreachable may still have
        // reachable upstreams: all its entry VMs may have failed at once.
        // Without this fallback, a service whose upstreams are all in that
        // domain would be refused although it could be served.
        std::ignore =
            this->collect_candidates(now, state, flow, eligibility::any);
    }
    auto const is_full = [](candidate const& one)
    {
        return one.is_full;
    };
    if (std::ranges::all_of(this->candidates, is_full))
    {
        return this->refuse(now, &state, flow);
    }
    std::erase_if(this->candidates, is_full);
    auto const chosen = this->pick_candidate(service).id;
    return placed{
        .upstream = chosen,
        .is_predicted = chosen == preferred &&
                        state.history.do_older_sets_choose(flow, chosen)};
}

std::optional<upstream_id>
placement::predict(service const& service, flow_id flow) const
{
    auto const found = this->service_by_id.find(service.id);
    if (found == this->service_by_id.end())
    {
        return std::nullopt;
    }
    return this->services[found->second].history.predict(flow);
}

void placement::flow_opened(time_point, upstream_id upstream)
{
    auto* const state = this->find_state(upstream);
    if (state == nullptr)
    {
        return;
    }
    state->flows += 1;
}

void placement::flow_closed(time_point now, upstream_id upstream)
{
    auto* const state = this->find_state(upstream);
    if (state == nullptr || state->flows == 0)
    {
        return;
    }
    state->flows -= 1;
    auto const interval = now - state->last_closed_at.value_or(now);
    state->last_closed_at = now;
    state->closing_interval +=
        (interval - state->closing_interval) / close_interval_divisor;
}

void placement::opening_confirmed(
    time_point now,
    upstream_id upstream,
    duration latency,
    effect_list& effects)
{
    auto* const state = this->find_state(upstream);
    if (state == nullptr || !state->health.confirm(now, latency))
    {
        return;
    }
    state->cold_until =
        std::min(state->cold_until, now + this->settings.slow_start);
    effects.emplace_back(report{
        .kind = report_kind::upstream_restored,
        .subject = to_text(upstream),
        .detail = {}});
}

void placement::opening_retransmitted(
    time_point now, upstream_id upstream, effect_list& effects)
{
    auto* const state = this->find_state(upstream);
    if (state == nullptr)
    {
        return;
    }
    state->health.record_unanswered();
    this->eject_if_failing(now, *state, effects);
}

bool placement::is_ejected(time_point now, upstream_id upstream) const
{
    auto const* const state = this->find_state(upstream);
    return state != nullptr && state->health.is_ejected(now);
}

void placement::tick(
    time_point now,
    std::span<vm_id const> domain_vms,
    std::span<vm_id const> peers,
    effect_list& effects)
{
    this->refresh_if_due(now);
    for (auto& state : this->states)
    {
        if (!state.is_declared || state.health_port == 0 ||
            state.domain != this->self.domain)
        {
            continue;
        }
        if (!consume_due_probe(
                now, this->self.id, this->settings.probe_period, state) ||
            !is_prober(
                this->self.id, state.id, domain_vms,
                this->settings.probers_per_upstream))
        {
            continue;
        }
        effects.emplace_back(probe_upstream{
            .upstream = state.id, .health_port = state.health_port});
    }
    auto const source =
        [this, now](upstream_id upstream) -> std::optional<upstream_report>
    {
        auto const* const state = this->find_state(upstream);
        if (state == nullptr)
        {
            return std::nullopt;
        }
        return state->reported.to_report(now, upstream);
    };
    this->spreader.flush(peers, source, effects);
}

void placement::receive(
    time_point now, upstream_probed const& event, effect_list& effects)
{
    this->apply_report(now, event.report, effects);
}

void placement::receive(
    time_point now,
    vm_id,
    upstream_report_listing const& message,
    effect_list& effects)
{
    for (auto const& one : message.reports)
    {
        this->apply_report(now, one, effects);
    }
}

std::vector<placement::upstream_view> placement::views(time_point now) const
{
    auto const lifetime = this->settings.report_lifetime;
    std::vector<upstream_view> result;
    result.reserve(this->states.size());
    for (auto const& state : this->states)
    {
        if (!state.is_declared)
        {
            continue;
        }
        auto const condition = state.is_draining()
                                   ? upstream_condition::draining
                                   : state.reported.condition(now, lifetime);
        result.push_back(
            {.upstream = state.id,
             .flows = state.flows,
             .condition = condition,
             .reported_load_permille =
                 state.reported.load_permille(now, lifetime).value_or(0),
             .is_ejected = state.health.is_ejected(now),
             .is_cold = now < state.cold_until});
    }
    return result;
}

upstream_state* placement::find_state(upstream_id upstream)
{
    auto const found = this->state_by_id.find(upstream);
    return found == this->state_by_id.end() ? nullptr
                                            : &this->states[found->second];
}

upstream_state const* placement::find_state(upstream_id upstream) const
{
    auto const found = this->state_by_id.find(upstream);
    return found == this->state_by_id.end() ? nullptr
                                            : &this->states[found->second];
}

void placement::rebuild_states(time_point now, directory const& next)
{
    auto const is_first = this->current == nullptr;
    for (auto& state : this->states)
    {
        state.is_declared = false;
        state.services.clear();
    }
    for (auto const& declared : next.upstreams())
    {
        this->apply_declaration(now, declared, is_first);
    }
    // Flows of a removed upstream continue, and the upstream may be declared
    // again: its state is kept while it has flows.
    std::erase_if(
        this->states,
        [](upstream_state const& state)
        {
            return !state.is_declared && state.flows == 0;
        });
    std::ranges::sort(this->states, {}, &upstream_state::id);
    this->state_by_id.clear();
    for (std::size_t index = 0; index < this->states.size(); ++index)
    {
        this->state_by_id.emplace(this->states[index].id, index);
    }
}

void placement::apply_declaration(
    time_point now, upstream const& declared, bool is_first)
{
    auto* state = this->find_state(declared.id);
    if (state == nullptr)
    {
        state = &this->states.emplace_back();
        state->id = declared.id;
        state->cold_until = is_first ? now : now + this->settings.slow_start;
    }
    // An upstream that returns from draining needs a slow start again.
    if (state->is_declared_draining && !declared.is_draining)
    {
        state->cold_until = now + this->settings.slow_start;
    }
    state->domain = declared.domain;
    state->slots = std::max(declared.slots, std::uint32_t{1});
    state->connections = declared.connections;
    state->health_port = declared.health_port;
    state->is_declared_draining = declared.is_draining;
    state->is_declared = true;
}

void placement::rebuild_services(directory const& next)
{
    std::vector<service_state> rebuilt;
    rebuilt.reserve(next.services().size());
    for (auto const& declared : next.services())
    {
        rebuilt.push_back(this->make_service_state(next, declared));
    }
    this->services = std::move(rebuilt);
    this->service_by_id.clear();
    for (std::size_t index = 0; index < this->services.size(); ++index)
    {
        auto const& service = this->services[index];
        this->service_by_id.emplace(service.id, index);
        for (auto const& member : service.members)
        {
            this->states[member.state_index].services.push_back(index);
        }
    }
}

service_state
placement::make_service_state(directory const& next, service const& declared)
{
    service_state result;
    result.id = declared.id;
    auto const previous = this->service_by_id.find(declared.id);
    if (previous != this->service_by_id.end())
    {
        result.history = std::move(this->services[previous->second].history);
    }
    std::vector<weighted_upstream> set;
    for (auto const id : declared.upstreams)
    {
        auto const* const member = next.find_upstream(id);
        if (member == nullptr || member->is_draining)
        {
            continue;
        }
        weighted_upstream const key(id, member->slots);
        set.push_back(key);
        result.members.push_back(
            {.state_index = this->state_by_id.at(id),
             .key = key,
             .inverse_weight = 1.0});
    }
    result.history.add(std::move(set));
    return result;
}

void placement::refresh_if_due(time_point now)
{
    if (now >= this->next_refresh_at)
    {
        this->refresh(now);
    }
}

void placement::refresh(time_point now)
{
    this->next_refresh_at = now + refresh_period;
    for (auto& state : this->states)
    {
        state.is_reachable = this->is_domain_reachable(state.domain);
    }
    for (auto& service : this->services)
    {
        this->refresh_service(now, service);
    }
}

void placement::refresh_service(time_point now, service_state& service)
{
    std::vector<upstream_signals> signals;
    signals.reserve(service.members.size());
    for (auto const& member : service.members)
    {
        signals.push_back(
            this->read_signals(now, this->states[member.state_index]));
    }
    auto const medians = find_medians(signals);
    for (std::size_t index = 0; index < signals.size(); ++index)
    {
        auto& member = service.members[index];
        auto const share =
            estimate_share(signals[index], medians, this->policy);
        auto const slots = this->states[member.state_index].slots;
        member.inverse_weight = 1.0 / (share * slots);
    }
}

upstream_signals
placement::read_signals(time_point now, upstream_state const& state) const
{
    auto const lifetime = this->settings.report_lifetime;
    return {
        .latency_seconds = to_seconds(state.health.latency()),
        .load_permille = state.reported.load_permille(now, lifetime),
        .report_freshness = state.reported.freshness(now, lifetime),
        .condition = state.reported.condition(now, lifetime),
        .slow_start_share = find_slow_start_share(
            now, state.cold_until, this->settings.slow_start)};
}

void placement::refresh_limits()
{
    for (auto& state : this->states)
    {
        std::uint64_t const count = this->vm_count;
        auto const even = (state.connections + count - 1) / count;
        // A single owner counts all flows itself and needs no slack.
        auto const slack = count == 1 ? 0 : even / share_slack_divisor;
        state.flow_limit = static_cast<std::uint32_t>(even + slack);
        if (state.connections == 0)
        {
            state.flow_limit = std::numeric_limits<std::uint32_t>::max();
        }
    }
}

std::optional<upstream_id> placement::collect_candidates(
    time_point now,
    service_state const& service,
    flow_id flow,
    eligibility required)
{
    std::optional<upstream_id> preferred;
    auto lowest = std::numeric_limits<std::uint64_t>::max();
    this->candidates.clear();
    for (auto const& member : service.members)
    {
        auto const rank = rendezvous_rank(flow, member.key);
        if (!preferred || rank < lowest)
        {
            preferred = member.key.id;
            lowest = rank;
        }
        auto const& state = this->states[member.state_index];
        if (!this->is_eligible(now, state, required))
        {
            continue;
        }
        this->candidates.push_back(
            {.id = state.id,
             .rank = rank,
             .slots = state.slots,
             .flows = state.flows,
             .load = (state.flows + 1) * member.inverse_weight,
             .is_full = state.is_full()});
    }
    return preferred;
}

bool placement::is_eligible(
    time_point now, upstream_state const& state, eligibility required) const
{
    if (state.is_draining())
    {
        return false;
    }
    switch (required)
    {
    case eligibility::healthy:
        return state.is_reachable && !state.health.is_ejected(now);
    case eligibility::reachable:
        return state.is_reachable;
    case eligibility::any:
        return true;
    }
    return true;
}

candidate const& placement::pick_candidate(service const& service) const
{
    switch (service.prefer)
    {
    case placement_preference::continuity:
        return this->pick_bounded();
    case placement_preference::balance:
        break;
    }
    return this->pick_balanced();
}

candidate const& placement::pick_balanced() const
{
    auto const shortlist =
        first_choices(this->candidates, this->policy.balance_candidates);
    auto const& first = *shortlist.front();
    // Prefer the flow's first choice while its load is close to the least.
    // Owners that all see the same upstream as the least loaded would otherwise
    // all choose it at the same time.
    auto const load_of = [](candidate const* one)
    {
        return one->load;
    };
    auto const& least = **std::ranges::min_element(shortlist, {}, load_of);
    auto const tolerated = least.load * (1.0 + this->policy.balance_tolerance);
    return first.load <= tolerated ? first : least;
}

candidate const& placement::pick_bounded() const
{
    double flows = 0.0;
    double slots = 0.0;
    for (auto const& one : this->candidates)
    {
        flows += one.flows;
        slots += one.slots;
    }
    auto const mean = flows / slots;
    auto const bound =
        mean * this->policy.continuity_load_ratio + continuity_slack;
    candidate const* result = nullptr;
    for (auto const& one : this->candidates)
    {
        if (one.load > bound)
        {
            continue;
        }
        if (result == nullptr || one.rank < result->rank)
        {
            result = &one;
        }
    }
    if (result != nullptr)
    {
        return *result;
    }
    return *std::ranges::min_element(this->candidates, {}, &candidate::load);
}

not_placed placement::refuse(
    time_point now, service_state const* service, flow_id flow) const
{
    auto const jitter = static_cast<duration::rep>(
        flow.value() % static_cast<std::uint64_t>(retry_jitter.count()));
    auto const retry_at = service == nullptr
                              ? now + unknown_retry_delay
                              : this->find_retry_time(now, *service);
    auto const reason = this->candidates.empty()
                            ? refusal_reason::no_healthy_upstream
                            : refusal_reason::upstreams_full;
    return {.reason = reason, .retry_at = retry_at + duration(jitter)};
}

time_point
placement::find_retry_time(time_point now, service_state const& service) const
{
    // Take the earliest time at which an ejection ends or a full upstream is
    // expected to close a flow.
    auto result = now + unknown_retry_delay;
    bool has_estimate = false;
    for (auto const& member : service.members)
    {
        auto const& state = this->states[member.state_index];
        if (!state.is_reachable || state.is_draining())
        {
            continue;
        }
        auto const room_at = std::clamp(
            state.last_closed_at.value_or(now) + state.closing_interval,
            now + minimum_full_retry_delay, now + maximum_full_retry_delay);
        auto const possible_at = state.health.is_ejected(now)
                                     ? state.health.ejected_until()
                                     : room_at;
        result = has_estimate ? std::min(result, possible_at) : possible_at;
        has_estimate = true;
    }
    return result;
}

void placement::eject_if_failing(
    time_point now, upstream_state& state, effect_list& effects)
{
    auto const condition =
        state.reported.condition(now, this->settings.report_lifetime);
    auto const is_probe_failed = condition == upstream_condition::failed;
    if (!state.health.should_eject(now, this->settings, is_probe_failed) ||
        !this->may_eject(now, state))
    {
        return;
    }
    auto const until = state.health.eject(now, this->settings);
    state.cold_until = until + this->settings.slow_start;
    auto const length =
        std::chrono::duration_cast<std::chrono::milliseconds>(until - now);
    effects.emplace_back(report{
        .kind = report_kind::upstream_ejected,
        .subject = to_text(state.id),
        .detail = std::to_string(length.count()) + "ms"});
}

bool placement::may_eject(time_point now, upstream_state const& failing) const
{
    // A fault of this VM makes every upstream look failed to it. Symptom: a
    // service has no upstreams on one VM only. The limit keeps some upstreams
    // in service whatever this VM observes.
    for (auto const index : failing.services)
    {
        auto const& members = this->services[index].members;
        std::size_t ejected = 1;
        for (auto const& member : members)
        {
            auto const& state = this->states[member.state_index];
            ejected += state.health.is_ejected(now) ? 1 : 0;
        }
        auto const allowed =
            members.size() * this->settings.maximum_ejected_percent;
        if (ejected >= members.size() || ejected * whole_percent > allowed)
        {
            return false;
        }
    }
    return true;
}

void placement::apply_report(
    time_point now, upstream_report const& incoming, effect_list& effects)
{
    auto* const state = this->find_state(incoming.upstream);
    if (state == nullptr || !state->is_declared)
    {
        return;
    }
    std::chrono::milliseconds const age(incoming.age_milliseconds);
    if (age >= this->settings.report_lifetime)
    {
        return;
    }
    auto const was_draining = state->reported.is_draining();
    auto const change =
        state->reported.update(now, incoming, minimum_load_interval);
    this->spreader.add(incoming.upstream, change);
    if (was_draining && !state->reported.is_draining())
    {
        state->cold_until = now + this->settings.slow_start;
    }
    if (change != report_change::condition)
    {
        return;
    }
    this->next_refresh_at = time_point{};
    this->eject_if_failing(now, *state, effects);
}

} // namespace cairnhead
