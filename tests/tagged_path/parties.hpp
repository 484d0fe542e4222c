#pragma once

#include <runtime/udp_socket.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

/// The two ends of tagged flows. All run in the test's own thread, so that
/// they may assert. Thread safety of everything here: none; one thread.
namespace cairnhead::tagged_path
{

inline constexpr std::uint8_t syn = 2;
inline constexpr std::uint8_t rst = 8;
inline constexpr std::uint8_t ack = 128;

/// The route of `samples::make_configuration`.
inline constexpr socket_address route{ipv4_address(0xc6120001), 443};

/// What a datagram holds, and who sent it.
struct packet
{
    std::uint32_t echo = 0;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint8_t flags = 0;
    socket_address source;
    socket_address destination;
    std::uint32_t sum = 0;
    std::string data;
    socket_address sender;
};

/// A host that serves flows: it answers openings, acknowledges data, and
/// resets flows that it does not hold.
class upstream_standin
{
public:
    /// Precondition: the address is free for UDP and TCP.
    upstream_standin(
        socket_address own, std::uint64_t instance, std::uint16_t to_port);

    /// The key of its entry in the store, and its address there.
    [[nodiscard]] std::string key() const;
    [[nodiscard]] std::string address_text() const;
    [[nodiscard]] socket_address address() const;

    /// Answers whatever has arrived. Fails the test when a packet is meant
    /// for another instance.
    void serve();

    /// From now on nothing is answered, as if the machine were cut off: not
    /// even attempts to connect are refused.
    void go_silent();

private:
    void answer(packet const& got);
    void accept_connections() const;

    socket_address own_address;
    std::uint64_t own_instance;
    std::uint16_t caller_port;
    udp_socket socket;
    file_descriptor listener;
    std::vector<file_descriptor> fillers;
    /// Callers' ports.
    std::set<std::uint16_t> flows;
    bool is_silent = false;
};

/// A flow as its caller knows it.
struct flow
{
    std::uint16_t port = 0;
    std::uint32_t echo = 0;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    socket_address served_by;
};

/// Someone who opens flows, and repeats packets until they are answered.
class caller
{
public:
    /// `serve_others` lets the other parties answer.
    caller(socket_address own, std::function<void()> serve_others);

    /// Opens a flow through an entry VM. Fails the test if it is refused.
    [[nodiscard]] flow open(socket_address vm);

    /// Sends data through an entry VM, and fails the test unless the flow's
    /// upstream acknowledges it and got the tag that it gave.
    void send_data(socket_address vm, flow& used);

    /// Sends data again and again until the flow is reset, and gives the
    /// reset.
    [[nodiscard]] packet provoke_reset(socket_address vm, flow const& used);

    /// Where a flow's resets go to.
    [[nodiscard]] socket_address address_of(flow const& used) const;

private:
    [[nodiscard]] packet make_data(flow const& used) const;
    [[nodiscard]] packet
    request(socket_address vm, packet const& asked, std::uint8_t wanted_flags);
    [[nodiscard]] std::optional<packet>
    await(packet const& asked, std::uint8_t wanted_flags);

    socket_address own_address;
    udp_socket socket;
    std::function<void()> serve;
    std::uint16_t next_port = 40001;
};

} // namespace cairnhead::tagged_path
