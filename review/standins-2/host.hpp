#pragma once

#include "loop.hpp"
#include "packet.hpp"
#include "store.hpp"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>

namespace review
{

/// Where packets for callers go: the port at the caller's address.
constexpr std::uint16_t caller_port = 8172;

/// A host of a service: holds flows, runs requests, answers its health path,
/// and registers itself in the store.
class host
{
public:
    struct description
    {
        std::string id;
        std::uint64_t number = 0;
        std::uint32_t address = 0;
        std::uint16_t port = 0;
        std::string service;
        std::string zone;
    };
    /// Whether the network loses this packet on its way to the caller.
    using loss = std::function<bool(host const&, packet const&)>;

    host(
        loop& on,
        record& into,
        store& registry,
        description what,
        std::uint64_t seed);

    [[nodiscard]] description const& about() const;
    void set_loss(loss network);
    /// Whether a flow of the caller is open here.
    [[nodiscard]] bool
    holds(std::uint32_t caller, std::uint16_t caller_flow_port) const;

private:
    enum class state
    {
        answered_opening,
        open,
    };
    struct flow
    {
        state now = state::answered_opening;
        packet opening;
        std::uint32_t echo = 0;
        std::uint32_t first = 0;
        std::uint32_t next_sent = 0;
        std::uint32_t acknowledged = 0;
        std::uint32_t next_received = 0;
        std::string request;
        std::string unacknowledged;
        int repeats = 0;
        bool has_closed = false;
    };
    using flow_key = std::pair<std::uint32_t, std::uint64_t>;
    using flow_ptr = std::shared_ptr<flow>;

    static flow_key key_of(packet const& arrived);
    void register_self();
    void repeat_registration(milliseconds after);
    void take_datagrams();
    void take(packet const& arrived);
    void take_opening(packet const& arrived);
    void take_data(flow_ptr const& known, packet const& arrived);
    void answer_opening(flow_ptr const& known);
    void repeat_opening_answer(flow_ptr const& known);
    void run(flow_ptr const& known, std::string const& request);
    void send_answer(flow_ptr const& known, std::string const& text);
    void repeat_answer(flow_ptr const& known, std::uint32_t sequence);
    void refuse(packet const& arrived);
    void reply(
        flow const& from,
        std::uint8_t flags,
        std::uint32_t sequence,
        std::string const& data);
    void send(packet const& sent);

    loop& events;
    record& seen;
    store& registry;
    description self;
    std::mt19937 random;
    int socket;
    int listener;
    std::map<flow_key, flow_ptr> flows;
    loss is_lost;
    std::uint64_t beats = 0;
};

} // namespace review
