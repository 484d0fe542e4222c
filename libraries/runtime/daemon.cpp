#include <runtime/daemon.hpp>

#include <runtime/readiness_server.hpp>
#include <runtime/request_server.hpp>

#include <base/ipv4.hpp>

#include <array>
#include <cinttypes>
#include <cstdio>
#include <utility>
#include <vector>

namespace cairnhead
{

namespace
{

log_options make_log_options(logging_settings const& settings)
{
    log_options options;
    options.least = parse_log_level(settings.level).value_or(options.least);
    options.lines_per_second = settings.lines_per_second;
    return options;
}

authenticator make_authenticator(peer_settings const& settings)
{
    std::vector<authenticator::key> keys;
    for (peer_key const& each : settings.keys)
        keys.push_back({each.id, each.secret});
    return authenticator(keys);
}

std::string digest_text(std::uint64_t digest)
{
    std::array<char, sizeof("0123456789abcdef")> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, digest);
    return text.data();
}

ipv4_address own_address(daemon_settings const& settings)
{
    return ipv4_address(settings.reducer.self.id.value());
}

} // namespace

daemon::daemon(daemon_settings read_settings, settings_source reread)
    : settings(std::move(read_settings)), source(std::move(reread)),
      log(make_log_options(this->settings.logging)), measured(fault_names()),
      exposer(
          this->measured.registry(),
          own_address(this->settings),
          this->settings.metrics_port),
      keys(make_authenticator(this->settings.peers)),
      calls(this->settings, this->keys, this->arrivals),
      packets(
          this->settings,
          {this->keys, this->signals, this->arrivals, this->calls,
           this->measured, this->log, this->is_ready,
           [this]
           {
               return this->reread_settings();
           }})
{
}

std::optional<daemon_settings> daemon::reread_settings()
{
    if (!this->source)
        return std::nullopt;
    try
    {
        daemon_settings read = this->source();
        // NOTE: Only where to find other VMs changes while the process runs;
        // whatever else is new in the file counts from the next start on.
        this->log.write(
            log_level::info, "settings_read_again",
            {{"applied", "seeds"}, {"settings", digest_text(read.digest)}});
        return read;
    }
    catch (std::exception const& failure)
    {
        // A file that is being written or is wrong must not end a process
        // that serves flows.
        this->log.write(
            log_level::error, "settings_rejected",
            {{"reason", failure.what()}});
        return std::nullopt;
    }
}

void daemon::run()
{
    std::string const vm = format_ipv4(own_address(this->settings));
    this->log_start(vm);
    this->packets.start();
    request_server const server({this->settings, this->keys, this->arrivals});
    readiness_server const readiness(
        own_address(this->settings), this->settings.readiness, this->is_ready);
    this->packets.run();
    this->log.write(log_level::info, "ended", {{"vm", vm}});
    this->log.flush();
}

void daemon::log_start(std::string_view vm)
{
    tagging_settings const& tagging = this->settings.reducer.tagging;
    logging_settings const& logging = this->settings.logging;
    auto const flows = std::to_string(tagging.maximum_flows);
    auto const lines = std::to_string(logging.lines_per_second);
    auto const logged = std::to_string(logging.flows_per_second);
    auto const seeds = std::to_string(this->settings.reducer.seeds.size());
    this->log.write(
        log_level::info, "started",
        {{"vm", vm},
         {"failure_domain", this->settings.failure_domain},
         {"version", CAIRNHEAD_VERSION},
         {"settings", digest_text(this->settings.digest)},
         {"seeds", seeds},
         {"maximum_flows", flows},
         {"lines_per_second", lines},
         {"flows_per_second", logged}});
    // Whatever comes next may end the process.
    this->log.flush();
}

} // namespace cairnhead
