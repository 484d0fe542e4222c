#include <tagging/domain_reachability.hpp>

#include <algorithm>
#include <utility>

namespace cairnhead
{

namespace
{

using std::chrono_literals::operator""s;

/// One silent upstream may have failed by itself. Two at the same time point to
/// a cause that they have in common.
constexpr std::size_t minimum_silent_upstreams = 2;

/// A domain that sent no message for longer may have no VMs, so that their
/// silence says nothing.
constexpr duration message_lifetime = 5s;

/// Shortest time between two probes of a domain, also if its VMs answered.
constexpr duration probe_interval = 1s;

} // namespace

domain_reachability::domain_reachability(
    tagging_settings const& chosen, failure_domain_id own)
    : settings(chosen), own_domain(own)
{
}

void domain_reachability::record_answered(
    time_point at, failure_domain_id domain)
{
    domain_state& state = this->domains[domain];
    state.answered_at = std::max(state.answered_at, at);
    if (at >= state.probed_at)
        this->mark_reachable(domain, state);
}

void domain_reachability::record_message(
    time_point now, failure_domain_id domain)
{
    domain_state& state = this->domains[domain];
    state.message_at = now;
    this->mark_reachable(domain, state);
}

void domain_reachability::mark_reachable(
    failure_domain_id domain, domain_state& state)
{
    state.answer_deadline.reset();
    if (!std::exchange(state.is_unreachable, false))
        return;
    this->changes.push_back({domain, false});
}

bool domain_reachability::may_be_unreachable(
    time_point now, failure_domain_id domain) const
{
    auto const found = this->domains.find(domain);
    // A network partition around the own domain doesn't cut this VM off from
    // the upstreams in it.
    if (domain == this->own_domain || found == this->domains.end())
        return false;
    domain_state const& state = found->second;
    bool const is_pending_or_unreachable =
        state.is_unreachable || state.answer_deadline;
    bool const has_recent_message =
        state.message_at && now < *state.message_at + message_lifetime;
    if (is_pending_or_unreachable || !has_recent_message)
        return false;
    bool const is_too_early =
        now < state.answered_at + this->settings.silence_timeout ||
        now < state.probed_at + probe_interval;
    // If no upstream answers at all, this VM itself is delayed or cut off.
    return !is_too_early && this->has_answers_elsewhere(now, domain);
}

void domain_reachability::record_silence(
    time_point now, failure_domain_id domain, std::size_t silent_upstreams)
{
    bool const is_suspect = silent_upstreams >= minimum_silent_upstreams &&
                            this->may_be_unreachable(now, domain);
    if (!is_suspect)
        return;
    domain_state& state = this->domains[domain];
    state.probed_at = now;
    state.answer_deadline = now + this->settings.ask_timeout;
    this->probe_requests.push_back(domain);
}

bool domain_reachability::has_answers_elsewhere(
    time_point now, failure_domain_id domain) const
{
    return std::ranges::any_of(
        this->domains,
        [&](auto const& entry)
        {
            return entry.first != domain &&
                   now < entry.second.answered_at +
                             this->settings.silence_timeout / 2;
        });
}

void domain_reachability::advance(time_point now)
{
    for (auto& [domain, state] : this->domains)
    {
        if (!state.answer_deadline || now < *state.answer_deadline)
            continue;
        state.answer_deadline.reset();
        if (!this->has_answers_elsewhere(now, domain))
            continue;
        state.is_unreachable = true;
        this->changes.push_back({domain, true});
    }
}

void domain_reachability::probe_again(time_point now)
{
    for (auto& [domain, state] : this->domains)
    {
        bool const is_due =
            state.is_unreachable && now >= state.probed_at + probe_interval;
        if (!is_due)
            continue;
        // Any answer makes the domain reachable. Without a probe, this VM might
        // receive no message for seconds after a network partition has healed.
        state.probed_at = now;
        this->probe_requests.push_back(domain);
    }
}

std::optional<time_point> domain_reachability::next_due() const
{
    std::optional<time_point> due;
    for (auto const& [domain, state] : this->domains)
    {
        if (!state.answer_deadline)
            continue;
        due = std::min(due.value_or(time_point::max()), *state.answer_deadline);
    }
    return due;
}

bool domain_reachability::is_unreachable(failure_domain_id domain) const
{
    auto const found = this->domains.find(domain);
    return found != this->domains.end() && found->second.is_unreachable;
}

std::vector<failure_domain_id> domain_reachability::take_probe_requests()
{
    return std::exchange(this->probe_requests, {});
}

std::vector<domain_reachability::reachability_change>
domain_reachability::take_changes()
{
    return std::exchange(this->changes, {});
}

} // namespace cairnhead
