#pragma once

#include <runtime/sockaddr.hpp>
#include <runtime/udp_socket.hpp>

#include <absl/container/flat_hash_set.h>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

namespace cairnhead::soak
{

/// What happens to datagrams that VMs send to one of them.
enum class peer_condition : std::uint8_t
{
    good,
    /// Nothing passes.
    cut,
    /// Some are lost, some come twice, some late and so out of order.
    harmed,
};

/// Stands at the address by which a VM's peers know it, and passes their
/// datagrams on to where the VM listens. Thread safety of all methods: one
/// thread besides its own.
class peer_relay
{
public:
    /// Throws `address_unavailable` and `system_failure`.
    peer_relay(socket_address known, socket_address listening);

    peer_relay(peer_relay const&) = delete;
    peer_relay& operator=(peer_relay const&) = delete;
    ~peer_relay();

    /// For all datagrams to the VM. No precondition.
    void set_condition(peer_condition now);

    /// What VMs send from these addresses does not pass. No precondition.
    void set_cut_senders(absl::flat_hash_set<ipv4_address> addresses);

private:
    using clock = std::chrono::steady_clock;

    struct held_datagram
    {
        clock::time_point due_at;
        std::vector<std::uint8_t> bytes;
    };

    void run();
    void take_all();
    void carry(std::vector<std::uint8_t> bytes);
    void deliver_due();
    void pass(std::span<std::uint8_t const> bytes) const;
    [[nodiscard]] bool is_cut_off(ipv4_address sender);
    [[nodiscard]] bool happens(std::uint64_t percent);

    udp_socket socket;
    sockaddr_in target;
    std::mt19937_64 random;
    std::vector<held_datagram> held;
    std::mutex mutex;
    absl::flat_hash_set<ipv4_address> cut_senders;
    std::atomic<peer_condition> condition = peer_condition::good;
    std::atomic<bool> is_ending = false;
    std::thread thread;
};

} // namespace cairnhead::soak
