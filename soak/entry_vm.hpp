#pragma once

#include <event/settings.hpp>
#include <settings/settings.hpp>
#include <soak/tcp_proxy.hpp>
#include <thin_path/child_process.hpp>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace cairnhead::soak
{

/// What an entry VM is told in its settings, and where its files are.
struct entry_vm_plan
{
    std::string program;
    /// By which everybody knows it.
    std::string address;
    /// Where it listens to its peers, behind what stands between.
    std::string peer_address;
    std::string failure_domain;
    std::string store_address;
    std::uint16_t store_port = 0;
    std::vector<std::string> seeds;
    std::filesystem::path folder;
    std::string name;
    placement_rule placement = placement_rule::flows;
};

/// What a process uses, as the kernel tells it.
struct process_usage
{
    std::uint64_t resident_kilobytes = 0;
    std::uint64_t threads = 0;
    std::uint64_t descriptors = 0;
};

/// One daemon as a process of its own, and its readiness as a fabric sees it.
/// Thread safety of all methods: one thread besides its own.
class entry_vm
{
public:
    explicit entry_vm(entry_vm_plan chosen);

    entry_vm(entry_vm const&) = delete;
    entry_vm& operator=(entry_vm const&) = delete;
    ~entry_vm();

    /// Starts the daemon. Precondition: it does not run.
    void start();

    void signal(int number);

    /// Writes settings that differ from the last ones. No precondition.
    void change_settings();

    /// Whether the process ended; its exit status. No precondition.
    [[nodiscard]] bool has_ended();
    [[nodiscard]] int exit_status();

    /// Whether the fabric sends callers here: it forgives one miss.
    [[nodiscard]] bool is_in_rotation() const;

    /// Where it takes callers' packets.
    [[nodiscard]] socket_address entrance() const;
    [[nodiscard]] std::string const& failure_domain() const;
    [[nodiscard]] std::string const& name() const;

    /// Precondition: the process runs.
    [[nodiscard]] process_usage usage() const;

    static constexpr std::uint16_t fabric_port = 6080;
    static constexpr std::uint16_t peer_port = 6081;
    static constexpr std::uint16_t document_port = 6083;

private:
    void write_settings() const;
    void watch_readiness();
    [[nodiscard]] bool answers_ready() const;

    entry_vm_plan plan;
    std::optional<thin_path::child_process> process;
    std::uint32_t settings_number = 0;
    std::atomic<std::uint32_t> misses = 2;
    std::mutex mutex;
    std::condition_variable ending;
    bool is_ending = false;
    std::thread readiness_thread;
};

} // namespace cairnhead::soak
