#include <observability/logger.hpp>

#include <observability/easylogging_line.hpp>

#include <array>
#include <utility>

namespace cairnhead
{

std::optional<log_level> parse_log_level(std::string_view text)
{
    constexpr std::array all_levels{
        log_level::debug, log_level::info, log_level::warning,
        log_level::error};
    for (auto const level : all_levels)
        if (to_text(level) == text)
            return level;
    return std::nullopt;
}

logger::logger(log_options options, line_writer target, wall_clock clock)
    : chosen(options), writer(std::move(target)), now(std::move(clock)),
      waiting(options.waiting_bytes)
{
}

void logger::write(
    log_level level, std::string_view event, std::span<log_field const> fields)
{
    if (level < this->chosen.least)
        return;
    std::lock_guard const lock(this->mutex);
    auto const time = this->now();
    event_budget& budget = this->budget_of(event);
    if (!budget.limit.admit(time))
    {
        ++this->left_out;
        return;
    }
    if (!this->put({time, level, event, fields}))
    {
        ++this->left_out;
        ++budget.lost;
    }
    // What went wrong is wanted most where the process ends right after it.
    if (level >= log_level::warning)
        this->drain();
}

void logger::write(
    log_level level,
    std::string_view event,
    std::initializer_list<log_field> fields)
{
    this->write(level, event, std::span(fields.begin(), fields.size()));
}

logger::event_budget& logger::budget_of(std::string_view event)
{
    return this->budgets
        .try_emplace(
            event, event_budget{log_rate_limit(this->chosen.lines_per_second)})
        .first->second;
}

bool logger::put(log_line const& line)
{
    return !this->is_reader_gone &&
           this->waiting.push(through_easylogging(line.level, format(line)));
}

void logger::flush()
{
    std::lock_guard const lock(this->mutex);
    this->drain();
    this->tell_left_out(this->now());
    this->drain();
}

void logger::drain()
{
    if (this->is_reader_gone)
        return;
    this->is_reader_gone = !this->waiting.drain(this->writer);
}

void logger::tell_left_out(std::chrono::system_clock::time_point time)
{
    // These lines are outside of the limit: a limit that hides its own effect
    // would read like a quiet system.
    auto const tell = [&](std::string_view event, std::uint64_t count,
                          std::string_view reason)
    {
        if (count == 0)
            return true;
        auto const text = std::to_string(count);
        log_field const fields[] = {
            {"kind", event}, {"count", text}, {"reason", reason}};
        return this->put(
            {time, log_level::warning, "lines_suppressed", fields});
    };
    for (auto& [event, budget] : this->budgets)
    {
        budget.over_limit += budget.limit.take_suppressed(time);
        if (tell(event, budget.over_limit, "rate"))
            budget.over_limit = 0;
        if (tell(event, budget.lost, "reader_slow"))
            budget.lost = 0;
    }
}

std::uint64_t logger::lines_left_out() const
{
    std::lock_guard const lock(this->mutex);
    return this->left_out;
}

} // namespace cairnhead
