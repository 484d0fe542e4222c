#include <runtime/system_failure.hpp>

#include <cerrno>

namespace cairnhead
{

std::string_view to_text(system_call call)
{
    switch (call)
    {
    case system_call::open_socket:
        return "open_socket";
    case system_call::set_socket_option:
        return "set_socket_option";
    case system_call::receive_datagrams:
        return "receive_datagrams";
    case system_call::create_epoll:
        return "create_epoll";
    case system_call::watch_descriptor:
        return "watch_descriptor";
    case system_call::wait_for_events:
        return "wait_for_events";
    case system_call::create_timer:
        return "create_timer";
    case system_call::create_event_descriptor:
        return "create_event_descriptor";
    case system_call::create_signal_descriptor:
        return "create_signal_descriptor";
    case system_call::block_signals:
        return "block_signals";
    }
    return "unknown";
}

system_failure::system_failure(system_call call, int error_number)
    : failed_call(call), failed_with(error_number)
{
}

system_call system_failure::call() const
{
    return this->failed_call;
}

int system_failure::error_number() const
{
    return this->failed_with;
}

char const* system_failure::what() const noexcept
{
    // The texts are literals, so their data ends with a zero byte.
    return to_text(this->failed_call).data();
}

int require_success(system_call call, int result)
{
    if (result < 0)
        throw system_failure(call, errno);
    return result;
}

} // namespace cairnhead
