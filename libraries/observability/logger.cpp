#include <observability/logger.hpp>

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

logger::logger(log_options options, log_sink target, wall_clock clock)
    : least(options.least), sink(std::move(target)), now(std::move(clock)),
      limit(options.lines_per_second)
{
}

void logger::write(
    log_level level, std::string_view event, std::span<log_field const> fields)
{
    if (level < this->least)
        return;
    std::lock_guard const lock(this->mutex);
    auto const time = this->now();
    this->tell_suppressed_at(time);
    if (!this->limit.admit(time))
        return;
    this->sink(level, format({time, level, event, fields}));
}

void logger::write(
    log_level level,
    std::string_view event,
    std::initializer_list<log_field> fields)
{
    this->write(level, event, std::span(fields.begin(), fields.size()));
}

void logger::tell_suppressed()
{
    std::lock_guard const lock(this->mutex);
    this->tell_suppressed_at(this->now());
}

void logger::tell_suppressed_at(std::chrono::system_clock::time_point time)
{
    auto const count = this->limit.take_suppressed(time);
    if (count == 0)
        return;
    // The line is outside of the limit: a limit that hides its own effect
    // would read like a quiet system.
    auto const text = std::to_string(count);
    log_field const fields[] = {{"count", text}};
    constexpr auto level = log_level::warning;
    this->sink(level, format({time, level, "lines_suppressed", fields}));
}

} // namespace cairnhead
