#pragma once

#include <cstdint>
#include <exception>
#include <string_view>

namespace cairnhead
{

/// Which request to the operating system failed.
enum class system_call : std::uint8_t
{
    open_socket,
    set_socket_option,
    receive_datagrams,
    create_epoll,
    watch_descriptor,
    wait_for_events,
    create_timer,
    create_event_descriptor,
    create_signal_descriptor,
    block_signals,
};

/// The call's name as operators see it. Thread safety: no shared state.
[[nodiscard]] std::string_view to_text(system_call call);

/// Thrown when the operating system refuses what the daemon cannot do without.
class system_failure : public std::exception
{
public:
    /// Precondition: `error_number` is an `errno` value.
    system_failure(system_call call, int error_number);

    /// No precondition. Thread safety: concurrent readers, as the others.
    [[nodiscard]] system_call call() const;

    [[nodiscard]] int error_number() const;

    /// The call's name.
    [[nodiscard]] char const* what() const noexcept override;

private:
    system_call failed_call;
    int failed_with;
};

/// Throws `system_failure` with the current `errno` if a call gave -1;
/// returns the result otherwise. Thread safety: no shared state.
int require_success(system_call call, int result);

} // namespace cairnhead
