#pragma once

#include <runtime/file_descriptor.hpp>
#include <runtime/sockaddr.hpp>

#include <atomic>
#include <cstdint>
#include <deque>
#include <string>
#include <thread>
#include <vector>

namespace cairnhead::soak
{

enum class link_condition : std::uint8_t
{
    good,
    /// Nothing passes, and those that fell silent stay so.
    silent,
    /// Connections are reset, those that come too.
    reset,
    /// Nothing passes back to who connected.
    one_way,
    /// All bytes wait for a while.
    slow,
};

/// Passes TCP connections on, or harms them. It stands between one VM and the
/// store. Thread safety of all methods: one thread besides its own.
class tcp_proxy
{
public:
    /// Throws `std::system_error` when the address cannot be had.
    tcp_proxy(socket_address own, socket_address target);

    tcp_proxy(tcp_proxy const&) = delete;
    tcp_proxy& operator=(tcp_proxy const&) = delete;
    ~tcp_proxy();

    /// No precondition.
    void set_condition(link_condition now);

private:
    /// Bytes on their way in one direction.
    struct held_bytes
    {
        std::int64_t due_at_milliseconds = 0;
        std::string bytes;
    };

    struct direction
    {
        file_descriptor source;
        std::deque<held_bytes> held;
    };

    struct connection
    {
        direction towards_target;
        direction back;
        /// It fell silent while the link was, and stays so.
        bool is_silent = false;
        bool is_over = false;
    };

    void run();
    void accept_all();
    void pass(connection& passed, direction& from, direction& to, bool is_back);
    void deliver(connection& passed, direction& from, direction& to);
    void apply_condition();
    [[nodiscard]] std::int64_t own_delay() const;

    socket_address target_address;
    file_descriptor listener;
    std::vector<connection> connections;
    std::atomic<link_condition> condition = link_condition::good;
    std::atomic<bool> is_ending = false;
    std::thread thread;
};

} // namespace cairnhead::soak
