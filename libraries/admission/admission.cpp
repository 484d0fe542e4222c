#include <admission/admission.hpp>

#include <algorithm>

namespace cairnhead
{

namespace
{

/// A flow's pin stands on its owner and on its backup.
constexpr std::uint32_t pins_per_flow = 2;

void remove_pin(std::uint32_t& pins, departure_estimate& departures)
{
    if (pins == 0)
    {
        return;
    }
    pins -= 1;
    departures.note_departure();
}

} // namespace

admission::admission(
    admission_settings const& initial_settings,
    std::uint32_t initial_maximum_pins)
    : settings(initial_settings), maximum_pins(initial_maximum_pins)
{
}

void admission::set_vm_count(std::uint32_t count)
{
    this->vm_count = std::max(count, std::uint32_t{1});
}

std::optional<admission_refusal>
admission::admit(time_point now, service const& service, std::uint32_t pins)
{
    if (pins >= this->maximum_pins)
    {
        return this->refuse_for_pins(
            now, refusal_reason::table_full, this->table);
    }
    auto& organisation = this->organisations[service.organisation];
    if (this->is_at_organisation_limit(organisation, pins))
    {
        return this->refuse_for_pins(
            now, refusal_reason::organisation_limit, organisation);
    }
    auto& account = this->services[service.id];
    if (this->is_at_flow_limit(account, service))
    {
        return this->refuse_for_pins(
            now, refusal_reason::flow_limit, account.held);
    }
    if (this->is_at_rate_limit(now, account, service))
    {
        return this->refuse_for_rate(now, service, account);
    }
    if (service.limits.openings_per_second != 0)
    {
        auto const rate = this->share_of(service.limits.openings_per_second);
        account.rate.count(now, rate);
        account.repeats.note_opening(rate);
    }
    return std::nullopt;
}

void admission::pin_added(service const& service)
{
    this->table.pins += 1;
    this->services[service.id].held.pins += 1;
    this->organisations[service.organisation].pins += 1;
}

void admission::pin_removed(service_id service, organisation_id organisation)
{
    remove_pin(this->table.pins, this->table.departures);
    auto& held = this->services[service].held;
    remove_pin(held.pins, held.departures);
    auto& owned = this->organisations[organisation];
    remove_pin(owned.pins, owned.departures);
}

bool admission::may_repeat(time_point now, service const& service)
{
    auto& account = this->services[service.id];
    auto const has_budget = account.repeats.take(now);
    auto const is_at_limit = this->is_at_rate_limit(now, account, service) ||
                             this->is_at_flow_limit(account, service);
    return has_budget || !is_at_limit;
}

std::uint32_t admission::share_of(std::uint64_t limit) const
{
    auto const share = (limit + this->vm_count - 1) / this->vm_count;
    return static_cast<std::uint32_t>(share);
}

bool admission::is_at_flow_limit(
    service_account const& account, service const& service) const
{
    if (service.limits.flows == 0)
    {
        return false;
    }
    std::uint64_t const copies = std::min(pins_per_flow, this->vm_count);
    return account.held.pins >= this->share_of(copies * service.limits.flows);
}

bool admission::is_at_rate_limit(
    time_point now,
    service_account const& account,
    service const& service) const
{
    if (service.limits.openings_per_second == 0)
    {
        return false;
    }
    auto const rate = this->share_of(service.limits.openings_per_second);
    return account.rate.earliest(now, rate, this->settings.burst) > now;
}

bool admission::is_at_organisation_limit(
    pin_account const& account, std::uint32_t pins) const
{
    auto const percent =
        std::min(this->settings.maximum_organisation_percent, 100U);
    std::uint64_t const left_percent = 100U - percent;
    std::uint64_t const free_pins = this->maximum_pins - pins;
    return account.pins * left_percent >= free_pins * percent;
}

admission_refusal admission::refuse_for_pins(
    time_point now, refusal_reason reason, pin_account& account) const
{
    auto const wait = account.departures.expected_wait(now);
    auto const retry_at =
        this->promise(now, now + wait, wait, account.next_promise);
    return {.reason = reason, .retry_at = retry_at};
}

admission_refusal admission::refuse_for_rate(
    time_point now, service const& service, service_account& account) const
{
    auto const rate = this->share_of(service.limits.openings_per_second);
    auto const earliest =
        account.rate.earliest(now, rate, this->settings.burst);
    auto const retry_at = this->promise(
        now, earliest, opening_rate::interval(rate), account.next_rate_promise);
    return {.reason = refusal_reason::service_limit, .retry_at = retry_at};
}

time_point admission::promise(
    time_point now,
    time_point earliest,
    duration interval,
    time_point& next_promise) const
{
    auto const wanted = std::max(earliest, next_promise);
    auto const promised = std::clamp(
        wanted, now + this->settings.minimum_retry_after,
        now + this->settings.maximum_retry_after);
    next_promise = promised + interval;
    return promised;
}

} // namespace cairnhead
