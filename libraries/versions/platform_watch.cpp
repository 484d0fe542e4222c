#include <versions/platform_watch.hpp>

namespace cairnhead
{

namespace
{

/// A watch that has no answer this long after its wait receives none any more.
constexpr duration answer_grace = 10s;

} // namespace

platform_watch::platform_watch(version_settings const& chosen)
    : wait(chosen.watch_wait),
      delay(chosen.backoff_minimum, chosen.backoff_maximum)
{
}

void platform_watch::tick(
    time_point now,
    platform_access access,
    version_random& random,
    effect_list& effects)
{
    if (this->deadline && now >= *this->deadline)
        this->failed(now, random, effects);
    if (this->deadline || now < this->next_start)
        return;
    if (access != platform_access::none)
        this->start(now, access, effects);
}

void platform_watch::start(
    time_point now, platform_access access, effect_list& effects)
{
    this->deadline = now + this->wait + answer_grace;
    this->early_until = now + this->wait / 2;
    effects.push_back(watch_platform{
        .after = this->after,
        .wait = this->wait,
        .known = {},
        .extent = access == platform_access::first_page
                      ? reading_extent::one_page
                      : reading_extent::everything});
}

void platform_watch::listed(
    time_point now,
    platform_index index,
    version_random& random,
    effect_list& effects)
{
    if (this->is_unreachable)
        effects.push_back(report{report_kind::platform_reachable, {}, {}});
    this->is_unreachable = false;
    this->was_answered = true;
    this->deadline.reset();

    // If the platform answers at once without changes (its watch is broken, or
    // replicas of different age alternate), every reader would read it in a
    // tight loop, up to its limit of reads. Symptom: a high call rate at the
    // platform.
    auto const has_changes = index > this->after;
    if (!has_changes && now < this->early_until)
        this->next_start = this->delay.fail(now, random);
    else
        this->delay.reset();
    // The index may decrease when the platform was restored. A watch that waits
    // for more than the old index would miss every change until the platform
    // reaches that index again.
    this->after = index;
}

void platform_watch::end_first_page_read()
{
    this->deadline.reset();
}

void platform_watch::failed(
    time_point now, version_random& random, effect_list& effects)
{
    if (!this->is_unreachable)
        effects.push_back(report{report_kind::platform_unreachable, {}, {}});
    this->is_unreachable = true;
    this->deadline.reset();
    this->next_start = this->delay.fail(now, random);
}

void platform_watch::restart(time_point now)
{
    this->deadline.reset();
    this->next_start = now;
}

bool platform_watch::has_answered() const
{
    return this->was_answered;
}

} // namespace cairnhead
