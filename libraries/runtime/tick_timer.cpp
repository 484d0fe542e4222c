#include <runtime/tick_timer.hpp>

#include <event/event.hpp>
#include <runtime/system_failure.hpp>

#include <chrono>
#include <cstdint>
#include <ctime>
#include <sys/timerfd.h>
#include <unistd.h>

namespace cairnhead
{

namespace
{

timespec to_timespec(std::chrono::nanoseconds span)
{
    auto const whole_seconds =
        std::chrono::duration_cast<std::chrono::seconds>(span);
    timespec converted{};
    converted.tv_sec = whole_seconds.count();
    converted.tv_nsec = (span - whole_seconds).count();
    return converted;
}

} // namespace

tick_timer::tick_timer()
    : timer(require_success(
          system_call::create_timer,
          ::timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC)))
{
    itimerspec schedule{};
    schedule.it_interval = to_timespec(tick_period);
    schedule.it_value = schedule.it_interval;
    require_success(
        system_call::create_timer,
        ::timerfd_settime(this->timer.get(), 0, &schedule, nullptr));
}

int tick_timer::descriptor() const
{
    return this->timer.get();
}

void tick_timer::acknowledge() const
{
    std::uint64_t expirations = 0;
    // There may be nothing to read after a spurious wake-up.
    auto const got =
        ::read(this->timer.get(), &expirations, sizeof(expirations));
    static_cast<void>(got);
}

} // namespace cairnhead
