#include <runtime/event_loop.hpp>

#include <runtime/system_failure.hpp>

#include <algorithm>
#include <array>
#include <cerrno>
#include <span>
#include <sys/epoll.h>
#include <utility>

namespace cairnhead
{

namespace
{

constexpr int no_timeout = -1;
constexpr std::uint32_t no_interest = 0;
constexpr std::size_t events_per_wait = 16;

} // namespace

event_loop::event_loop()
    : epoll(require_success(
          system_call::create_epoll, ::epoll_create1(EPOLL_CLOEXEC)))
{
}

void event_loop::watch(int descriptor, handler on_readable)
{
    this->add(descriptor, EPOLLIN, std::move(on_readable));
}

void event_loop::watch_paused(int descriptor, handler on_readable)
{
    this->add(descriptor, no_interest, std::move(on_readable));
}

void event_loop::add(
    int descriptor, std::uint32_t interests, handler on_readable)
{
    epoll_event interest{};
    interest.events = interests;
    interest.data.u64 = this->sources.size();
    int const added =
        ::epoll_ctl(this->epoll.get(), EPOLL_CTL_ADD, descriptor, &interest);
    require_success(system_call::watch_descriptor, added);
    this->sources.push_back({descriptor, std::move(on_readable)});
}

void event_loop::resume(int descriptor)
{
    auto const found =
        std::ranges::find(this->sources, descriptor, &watched::descriptor);
    epoll_event interest{};
    interest.events = EPOLLIN;
    interest.data.u64 =
        static_cast<std::uint64_t>(found - this->sources.begin());
    int const changed =
        ::epoll_ctl(this->epoll.get(), EPOLL_CTL_MOD, descriptor, &interest);
    require_success(system_call::watch_descriptor, changed);
}

void event_loop::run()
{
    this->is_stopped = false;
    while (!this->is_stopped)
    {
        this->wait();
        this->call_handlers();
    }
}

void event_loop::stop()
{
    this->is_stopped = true;
}

void event_loop::wait()
{
    std::array<epoll_event, events_per_wait> events;
    int const ready = ::epoll_wait(
        this->epoll.get(), events.data(), events.size(), no_timeout);
    // SIGCONT after SIGSTOP interrupts the wait; that is no failure.
    if (ready < 0 && errno == EINTR)
        return;
    require_success(system_call::wait_for_events, ready);
    auto const count = static_cast<std::size_t>(ready);
    for (epoll_event const& event : std::span(events).first(count))
        this->sources[event.data.u64].is_ready = true;
}

void event_loop::call_handlers()
{
    for (watched& source : this->sources)
    {
        if (!std::exchange(source.is_ready, false))
            continue;
        source.on_readable();
        if (this->is_stopped)
            return;
    }
}

} // namespace cairnhead
