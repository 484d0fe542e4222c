#include <reducer/handover.hpp>

#include <algorithm>

namespace cairnhead
{

namespace
{

/// Encoded size of one pin in a `pin_batch`.
constexpr std::size_t bytes_per_copied_pin = 24;

/// Pins in one `pin_batch`, so that it fits `maximum_control_bytes`.
constexpr std::size_t pins_per_batch = 40;

/// A busy flow's own packets copy its pin within this time of a change of
/// holders; only the others cost control bytes.
constexpr auto idle_grace = std::chrono::seconds(5);

/// Unused budget is not saved up beyond this, so that copying never bursts.
constexpr auto budget_memory = std::chrono::seconds(1);

/// A leaving VM visits its whole table in this time.
constexpr auto leaving_sweep_period = std::chrono::seconds(1);

bool has_suspect(membership const& members)
{
    return std::ranges::any_of(
        members.members(),
        [](member const& known)
        {
            return known.status == member_status::suspect;
        });
}

} // namespace

handover::handover(
    handover_settings const& initial_settings, pin_settings const& pins)
    : settings(initial_settings), pin_limits(pins)
{
}

void handover::tick(
    time_point now, routing_context const& context, effect_list& effects)
{
    duration const period = this->leaving ? duration(leaving_sweep_period)
                                          : this->pin_limits.sweep_period;
    duration const passed = std::clamp<duration>(
        now - this->last_sweep_at, duration::zero(), period);
    this->last_sweep_at = now;
    this->budget_free_at = std::max(this->budget_free_at, now - budget_memory);
    double const share =
        std::chrono::duration<double>(passed) / this->pin_limits.sweep_period;
    auto const count = static_cast<std::size_t>(
        share * static_cast<double>(context.pins.size()));
    this->sweep(now, context, count + 1);
    this->flush(effects);
    if (this->leaving)
        this->finish_leaving(now, context, effects);
}

void handover::start_leaving(time_point earliest_end, time_point latest_end)
{
    this->leaving = true;
    this->leave_earliest_at = earliest_end;
    this->leave_latest_at = latest_end;
}

void handover::note_use(bool is_used_now)
{
    this->is_used = is_used_now;
}

bool handover::is_leaving() const
{
    return this->leaving;
}

void handover::sweep(
    time_point now, routing_context const& context, std::size_t count)
{
    for (std::size_t visited = 0; visited < count; ++visited)
    {
        if (this->cursor >= context.pins.size())
        {
            this->finish_round();
            return;
        }
        pin& next = context.pins.at(this->cursor);
        if (next.expires_at <= now)
        {
            // The last pin takes this place, so the cursor stays.
            context.release(now, next);
            continue;
        }
        this->visit(now, context, next);
        ++this->cursor;
    }
}

void handover::visit(
    time_point now, routing_context const& context, pin& visited)
{
    if (context.ownership.is_empty())
        return;
    this->settle_ownership(now, context, visited);
    this->copy_if_due(now, context, visited);
}

void handover::settle_ownership(
    time_point now, routing_context const& context, pin& visited) const
{
    // A former owner that went on counting would see load on upstreams that
    // the new owner counts as well, and would place unevenly.
    if (context.is_owner_of(visited.flow))
        context.count_flow(now, visited);
    else
        context.uncount_flow(now, visited);
}

void handover::copy_if_due(
    time_point now, routing_context const& context, pin& visited)
{
    ownership_table const& ownership = context.ownership;
    if (ownership.is_copied(visited.flow, visited.copied_epoch))
        return;
    bool const may_copy_itself =
        !this->leaving &&
        ownership.has_changed_since(now - idle_grace, visited.flow);
    if (may_copy_itself)
        return;
    auto const targets = ownership.copy_targets(
        context.self.id, visited.flow, visited.copied_epoch);
    if (targets.empty())
        return;
    if (!this->has_budget(now))
    {
        ++this->uncopied_in_round;
        return;
    }
    for (vm_id const target : targets)
        this->queue_copy(now, target, visited);
    // FIXME: a batch lost on the way is not sent again; the pin then stands on
    // one VM until its flow's next packet or the next change of holders.
    visited.copied_epoch = ownership.epoch();
}

bool handover::has_budget(time_point now) const
{
    return this->budget_free_at <= now;
}

void handover::queue_copy(time_point now, vm_id target, pin const& copied)
{
    this->budget_free_at =
        std::max(this->budget_free_at, now - budget_memory) +
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(
            static_cast<double>(bytes_per_copied_pin) /
            this->settings.bytes_per_second));
    this->outgoing[target].pins.push_back(
        {copied.flow, copied.service, copied.upstream, copied.state});
}

void handover::flush(effect_list& effects)
{
    for (auto& [target, batch] : this->outgoing)
    {
        std::span<pin_claim const> rest = batch.pins;
        while (!rest.empty())
        {
            auto const part = rest.first(std::min(rest.size(), pins_per_batch));
            effects.emplace_back(
                send_control{target, pin_batch{{part.begin(), part.end()}}});
            rest = rest.subspan(part.size());
        }
    }
    this->outgoing.clear();
}

void handover::finish_round()
{
    this->cursor = 0;
    this->is_clean_round_done =
        this->is_round_counted && this->uncopied_in_round == 0;
    this->uncopied_in_round = 0;
    this->is_round_counted = this->leaving;
}

void handover::finish_leaving(
    time_point now, routing_context const& context, effect_list& effects)
{
    if (this->is_left)
        return;
    // The other holder of a pin may have died just now. While its death is not
    // known, the pin counts as standing there, and leaving would lose it.
    bool const may_lose_pins =
        context.pins.size() > 0 && has_suspect(context.members);
    bool const is_done = this->is_clean_round_done &&
                         now >= this->leave_earliest_at && !this->is_used &&
                         !may_lose_pins;
    if (!is_done && now < this->leave_latest_at)
        return;
    this->is_left = true;
    // Operators must be able to tell a leave that ran out of time, as idle
    // flows then stand on one VM only.
    std::string const detail = is_done ? "" : "timeout";
    effects.emplace_back(report{report_kind::leave_finished, "", detail});
    effects.emplace_back(leave_complete{});
}

} // namespace cairnhead
