#include <tagging/upstream_reach.hpp>

#include <algorithm>
#include <utility>

namespace cairnhead
{

namespace
{

/// Check periods for which an upstream counts as unreachable after a check.
/// More than one, so that a single missed check changes nothing.
constexpr int unreachable_periods = 3;

template <typename... Functions>
struct overloaded : Functions...
{
    using Functions::operator()...;
};

template <typename... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

} // namespace

std::optional<time_point> upstream_reach::silent_since() const
{
    using optional_time = std::optional<time_point>;
    return std::visit(
        overloaded{
            [](answering const&) -> optional_time
            {
                return std::nullopt;
            },
            [](silent const& state) -> optional_time
            {
                return state.since;
            },
            [](checking const& state) -> optional_time
            {
                return state.silent_since;
            },
            [](unreachable const& state) -> optional_time
            {
                return state.silent_since;
            }},
        this->current);
}

void upstream_reach::record_answered(time_point at)
{
    this->last_answer_at = std::max(this->last_answer_at, at);
    auto const since = this->silent_since();
    // An answer from before the silence says nothing about the silence.
    if (since && at < *since)
        return;
    this->current = answering{};
}

void upstream_reach::record_silence(time_point now)
{
    if (std::holds_alternative<answering>(this->current))
        this->current = silent{now};
    if (auto* const running = std::get_if<checking>(&this->current))
        running->silent_since = running->silent_since.value_or(now);
}

bool upstream_reach::is_silent() const
{
    return this->silent_since().has_value();
}

bool upstream_reach::is_unreachable(time_point now) const
{
    auto const* const state = std::get_if<unreachable>(&this->current);
    return state != nullptr && now < state->expires_at;
}

time_point upstream_reach::answered_at() const
{
    return this->last_answer_at;
}

bool upstream_reach::is_check_due(
    time_point now, tagging_settings const& settings) const
{
    return !this->is_check_running && now >= this->next_check_at &&
           now >= this->last_answer_at + settings.check_after;
}

void upstream_reach::start_check(
    time_point now, tagging_settings const& settings)
{
    this->is_check_running = true;
    this->next_check_at = now + settings.check_period;
    if (std::holds_alternative<unreachable>(this->current))
        return;
    this->current = checking{this->silent_since()};
}

reach_change upstream_reach::end_check(
    time_point now,
    connection_outcome outcome,
    tagging_settings const& settings)
{
    this->is_check_running = false;
    // An answer or a new listing arrived since the check began, so that its
    // outcome is out of date.
    bool const is_outdated = std::holds_alternative<answering>(this->current) ||
                             std::holds_alternative<silent>(this->current);
    if (is_outdated)
        return reach_change::none;
    bool const was_unreachable = this->is_unreachable(now);
    auto const since = this->silent_since();
    switch (outcome)
    {
    case connection_outcome::connected:
    case connection_outcome::refused:
        // If nothing listens at the port, the upstream's machine resets the
        // flows itself.
        this->current = answering{};
        return was_unreachable ? reach_change::found_reachable
                               : reach_change::none;
    case connection_outcome::inconclusive:
        this->next_check_at = now + settings.check_after;
        if (!was_unreachable)
            this->current =
                since ? reach_state(silent{*since}) : reach_state(answering{});
        return reach_change::none;
    case connection_outcome::unanswered:
        break;
    }
    this->current = unreachable{
        since.value_or(now), now + settings.check_period * unreachable_periods};
    return reach_change::found_unreachable;
}

void upstream_reach::check_now(time_point now)
{
    if (std::holds_alternative<unreachable>(this->current))
        this->next_check_at = std::min(this->next_check_at, now);
}

} // namespace cairnhead
