#pragma once

#include "fleet.hpp"
#include "loop.hpp"
#include "packet.hpp"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace review
{

/// A caller in one zone. It opens flows, sends requests on them one at a time,
/// and records what it is sent.
class caller
{
public:
    enum class flow_state
    {
        opening,
        open,
        reset,
        unanswered,
        closed,
    };

    /// One flow as the caller sees it.
    struct flow
    {
        std::uint16_t port = 0;
        std::uint32_t route = 0;
        std::uint16_t route_port = 0;
        flow_state state = flow_state::opening;
        std::uint32_t echo = 0;
        std::uint32_t next_sent = 0;
        std::uint32_t acknowledged = 0;
        std::uint32_t next_received = 0;
        int opening_copies = 0;
        std::string unacknowledged;
        int repeats = 0;
        std::string received;
        std::string attempt;
        int answers = 0;
        /// The machine that took the latest packet.
        std::string machine;
        /// Who sent the reset, and when.
        std::uint32_t reset_by = 0;
        time_point reset_at;
        /// The machine that took the packet that the reset followed.
        std::string reset_after;
    };
    using flow_ptr = std::shared_ptr<flow>;

    caller(
        loop& on,
        record& into,
        fleet const& by,
        std::uint32_t own,
        std::string in_zone,
        std::uint64_t seed);

    flow_ptr open(std::uint32_t route, std::uint16_t port);
    /// Opens a flow from this port of the caller.
    flow_ptr
    open_from(std::uint16_t own_port, std::uint32_t route, std::uint16_t port);
    /// Sends one request. The flow may still be opening.
    void request(flow_ptr const& on, std::string const& attempt);
    void close(flow_ptr const& on);
    /// The machine that takes the flow's packets now.
    [[nodiscard]] std::string machine_of(flow const& of) const;
    [[nodiscard]] std::uint32_t address() const;

private:
    void take_datagrams();
    void take(packet const& arrived, std::uint32_t sender);
    void take_opening_answer(flow_ptr const& of, packet const& arrived);
    void take_data(flow_ptr const& of, packet const& arrived);
    void send_opening(flow_ptr const& of);
    void send_request(flow_ptr const& of);
    void repeat_request(flow_ptr const& of, std::uint32_t sequence);
    void send(
        flow_ptr const& of,
        std::uint8_t flags,
        std::uint32_t sequence,
        std::string const& data);
    [[nodiscard]] std::string describe(flow const& of) const;

    loop& events;
    record& seen;
    fleet const& machines;
    std::uint32_t self;
    std::string zone;
    std::mt19937 random;
    int socket;
    std::uint16_t next_port = 40000;
    std::map<std::uint16_t, flow_ptr> flows;
    std::map<std::uint16_t, std::string> pending;
};

} // namespace review
