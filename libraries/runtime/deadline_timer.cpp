#include <runtime/deadline_timer.hpp>

#include <runtime/system_failure.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <ctime>
#include <sys/timerfd.h>
#include <unistd.h>
#include <utility>

namespace cairnhead
{

namespace
{

/// The moment zero would turn the timer off.
constexpr std::int64_t earliest_nanosecond = 1;

timespec to_timespec(time_point moment)
{
    std::int64_t const whole =
        std::max(moment.time_since_epoch().count(), earliest_nanosecond);
    constexpr std::int64_t second = std::nano::den;
    timespec converted{};
    converted.tv_sec = whole / second;
    converted.tv_nsec = whole % second;
    return converted;
}

} // namespace

deadline_timer::deadline_timer()
    : timer(require_success(
          system_call::create_timer,
          ::timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC)))
{
}

int deadline_timer::descriptor() const
{
    return this->timer.get();
}

void deadline_timer::arm(std::optional<time_point> deadline)
{
    if (!deadline || (this->armed_for && *this->armed_for <= *deadline))
        return;
    itimerspec schedule{};
    schedule.it_value = to_timespec(*deadline);
    require_success(
        system_call::create_timer,
        ::timerfd_settime(
            this->timer.get(), TFD_TIMER_ABSTIME, &schedule, nullptr));
    this->armed_for = deadline;
}

std::optional<time_point> deadline_timer::acknowledge()
{
    std::uint64_t expirations = 0;
    // There may be nothing to read after a spurious wake-up.
    auto const got =
        ::read(this->timer.get(), &expirations, sizeof(expirations));
    static_cast<void>(got);
    return std::exchange(this->armed_for, std::nullopt);
}

} // namespace cairnhead
