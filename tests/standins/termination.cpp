#include "termination.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <system_error>

#include <poll.h>
#include <sys/signalfd.h>

namespace cairnhead::standins
{
namespace
{

timespec time_until(time_point deadline)
{
    auto const left =
        std::max(clock::duration::zero(), deadline - clock::now());
    auto const seconds = std::chrono::duration_cast<std::chrono::seconds>(left);
    return {
        .tv_sec = seconds.count(),
        .tv_nsec = std::chrono::nanoseconds{left - seconds}.count()};
}

} // namespace

termination_signal::termination_signal()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    this->descriptor = signalfd(-1, &signals, SFD_CLOEXEC);
    if (this->descriptor < 0)
    {
        throw std::system_error{errno, std::generic_category(), "signalfd"};
    }
}

bool termination_signal::wait(int readable, time_point deadline) const
{
    std::array<pollfd, 2> waited{
        pollfd{.fd = this->descriptor, .events = POLLIN, .revents = 0},
        pollfd{.fd = readable, .events = POLLIN, .revents = 0}};
    auto const left = time_until(deadline);
    ppoll(waited.data(), waited.size(), &left, nullptr);
    return (waited.front().revents & POLLIN) == 0;
}

void termination_signal::wait() const
{
    pollfd waited{.fd = this->descriptor, .events = POLLIN, .revents = 0};
    while (poll(&waited, 1, -1) != 1)
    {
    }
}

void print_ready()
{
    std::puts("ready");
    std::fflush(stdout);
}

void end_process(int status)
{
    std::fflush(stdout);
    std::quick_exit(status);
}

} // namespace cairnhead::standins
