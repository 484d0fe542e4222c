#include <observability/log_rate_limit.hpp>

#include <utility>

namespace cairnhead
{

log_rate_limit::log_rate_limit(std::uint32_t allowed_per_second)
    : lines_per_second(allowed_per_second)
{
}

bool log_rate_limit::admit(time_point now)
{
    this->enter_second_of(now);
    if (this->lines_in_second < this->lines_per_second)
    {
        ++this->lines_in_second;
        return true;
    }
    ++this->suppressed_in_second;
    return false;
}

std::uint64_t log_rate_limit::take_suppressed(time_point now)
{
    this->enter_second_of(now);
    return std::exchange(this->suppressed_earlier, 0);
}

void log_rate_limit::enter_second_of(time_point now)
{
    auto const second = std::chrono::floor<std::chrono::seconds>(now);
    if (second == this->current_second)
        return;
    this->current_second = second;
    this->lines_in_second = 0;
    this->suppressed_earlier += std::exchange(this->suppressed_in_second, 0);
}

} // namespace cairnhead
