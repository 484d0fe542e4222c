#pragma once

#include <observability/logger.hpp>
#include <observability/metrics.hpp>
#include <observability/metrics_exposer.hpp>
#include <runtime/inbox.hpp>
#include <runtime/packet_thread.hpp>
#include <runtime/remote_calls.hpp>
#include <runtime/signal_source.hpp>
#include <settings/settings.hpp>
#include <wire/authenticator.hpp>

#include <atomic>
#include <functional>
#include <optional>

namespace cairnhead
{

/// Reads the settings file again. Throws `settings_rejected`, or whatever
/// reading files throws.
using settings_source = std::function<daemon_settings()>;

/// The process of one entry VM: all threads and what they share.
/// Thread safety of all methods: none; the main thread.
class daemon
{
public:
    /// Binds the packet and metrics sockets. Throws `system_failure`,
    /// `address_unavailable` and `exposer_unavailable`.
    /// Precondition: no other thread runs yet.
    explicit daemon(daemon_settings read_settings, settings_source reread = {});

    /// Serves until a planned leave is complete, or a second signal comes.
    /// Throws `system_failure` and `rpc_address_unavailable`.
    /// Precondition: called once.
    void run();

private:
    [[nodiscard]] std::optional<daemon_settings> reread_settings();
    void log_start(std::string_view vm);

    daemon_settings settings;
    settings_source source;
    /// First, since it blocks the signals for the threads started below.
    signal_source signals;
    logger log;
    metrics measured;
    metrics_exposer exposer;
    authenticator keys;
    inbox arrivals;
    remote_calls calls;
    /// Whether callers may be sent to this VM.
    std::atomic<bool> is_ready = false;
    packet_thread packets;
};

} // namespace cairnhead
