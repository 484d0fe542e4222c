#include <runtime/signal_source.hpp>

#include <runtime/system_failure.hpp>

#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>

namespace cairnhead
{

namespace
{

sigset_t handled_signals()
{
    sigset_t signals;
    ::sigemptyset(&signals);
    ::sigaddset(&signals, SIGTERM);
    ::sigaddset(&signals, SIGINT);
    // Without this a change of the settings file would end the process.
    ::sigaddset(&signals, SIGHUP);
    return signals;
}

int open_blocked_signals()
{
    sigset_t const signals = handled_signals();
    int const failure = ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    if (failure != 0)
        throw system_failure(system_call::block_signals, failure);
    return require_success(
        system_call::create_signal_descriptor,
        ::signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC));
}

} // namespace

signal_source::signal_source() : signals(open_blocked_signals())
{
    // Writing to an operator's closed connection, or to a log whose reader
    // has gone, would end the process without this.
    ::signal(SIGPIPE, SIG_IGN);
}

int signal_source::descriptor() const
{
    return this->signals.get();
}

signal_source::arrivals signal_source::take()
{
    arrivals taken;
    signalfd_siginfo arrived{};
    while (::read(this->signals.get(), &arrived, sizeof(arrived)) > 0)
    {
        if (arrived.ssi_signo == SIGHUP)
            taken.are_settings_changed = true;
        else
            ++taken.endings;
    }
    return taken;
}

} // namespace cairnhead
