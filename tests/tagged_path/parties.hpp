#pragma once

#include "packet.hpp"

#include <registry/tag.hpp>
#include <thin_path/wait_until.hpp>

#include <criterion/criterion.h>
#include <functional>
#include <poll.h>
#include <set>
#include <utility>

/// The two ends of tagged flows. All run in the test's own thread, so that
/// they may assert. Thread safety of everything here: none; one thread.
namespace cairnhead::tagged_path
{

/// The route of `samples::make_configuration`.
inline constexpr socket_address route{ipv4_address(0xc6120001), 443};

/// A host that serves flows: it answers openings, acknowledges data, and
/// resets flows that it does not hold.
class upstream_standin
{
public:
    /// Precondition: the address is free for UDP and TCP.
    upstream_standin(
        socket_address own, std::uint64_t instance, std::uint16_t to_port)
        : own_address(own), own_instance(instance), caller_port(to_port),
          socket(own), listener(open_stream())
    {
        int const descriptor = this->listener.get();
        int const yes = 1;
        ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
        sockaddr_in const bound = to_sockaddr(own);
        auto const* const plain = reinterpret_cast<sockaddr const*>(&bound);
        cr_assert_eq(::bind(descriptor, plain, sizeof(bound)), 0);
        cr_assert_eq(::listen(descriptor, 16), 0);
    }

    [[nodiscard]] std::uint64_t instance() const
    {
        return this->own_instance;
    }

    [[nodiscard]] socket_address address() const
    {
        return this->own_address;
    }

    /// Answers whatever has arrived. Fails the test when a packet is meant
    /// for another instance.
    void serve()
    {
        if (this->is_silent)
            return;
        this->accept_connections();
        while (auto const got = receive(this->socket))
        {
            std::span<std::uint8_t const> const bytes(got->bytes);
            cr_assert_geq(bytes.size(), 8);
            std::uint64_t const high = read_uint32(bytes, 0);
            cr_assert_eq(
                high << 32 | read_uint32(bytes, 4), this->own_instance);
            this->answer(decode(bytes.subspan(8)));
        }
    }

    /// From now on nothing is answered, as if the machine were cut off: not
    /// even attempts to connect are refused.
    void go_silent()
    {
        this->accept_connections();
        this->is_silent = true;
        // The kernel answers no further attempt to connect while the queue of
        // connections that nobody takes is full.
        cr_assert_eq(::listen(this->listener.get(), 0), 0);
        thin_path::wait_until(
            "connections hang",
            [this]
            {
                return this->hangs(this->fillers.emplace_back(open_stream()));
            });
    }

private:
    static file_descriptor open_stream()
    {
        return file_descriptor(
            ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    }

    [[nodiscard]] bool hangs(file_descriptor const& stream) const
    {
        sockaddr_in const target = to_sockaddr(this->own_address);
        auto const* const plain = reinterpret_cast<sockaddr const*>(&target);
        // Its outcome is read below.
        static_cast<void>(::connect(stream.get(), plain, sizeof(target)));
        pollfd asked{stream.get(), POLLOUT, 0};
        return ::poll(&asked, 1, 0) == 0;
    }

    void answer(packet const& got)
    {
        packet reply;
        reply.echo = got.echo;
        reply.source = got.destination;
        reply.destination = got.source;
        reply.sequence = static_cast<std::uint32_t>(this->own_instance) * 1000;
        reply.acknowledgement =
            got.sequence + static_cast<std::uint32_t>(got.data.size());
        bool const is_opening = got.flags == syn;
        reply.flags = is_opening ? syn | ack : ack;
        if (is_opening)
            this->flows.insert(got.source.port);
        else if (!this->flows.contains(got.source.port))
            reply.flags = rst;
        else if (got.data.empty())
            return;
        send(this->socket, {got.source.address, this->caller_port}, reply);
    }

    void accept_connections() const
    {
        int taken = 0;
        while (taken >= 0)
        {
            taken = ::accept(this->listener.get(), nullptr, nullptr);
            file_descriptor const closed(taken);
        }
    }

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
    socket_address caller;
    std::uint32_t echo = 0;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    socket_address served_by;
    /// What the upstream's answers carry once it has had a packet after the
    /// opening.
    std::uint32_t confirmed_echo = 0;
};

/// Someone who opens flows, and repeats packets until they are answered.
class caller_standin
{
public:
    /// An answer, and who sent it.
    struct answer
    {
        packet read;
        socket_address sender;
    };

    /// `serve_others` lets the other parties answer.
    caller_standin(socket_address own, std::function<void()> serve_others)
        : own_address(own), socket(own), serve(std::move(serve_others))
    {
    }

    /// Opens a flow through an entry VM, and confirms the answer. Fails the
    /// test if it is refused.
    [[nodiscard]] flow open(socket_address vm)
    {
        flow opened = this->make_flow();
        answer const got = this->request(vm, make_opening(opened), syn | ack);
        opened.echo = got.read.echo;
        opened.confirmed_echo = toggle_provisional(
                                    upstream_tag(got.read.echo),
                                    opened.sequence, offer_standing::latest)
                                    .value();
        // An opening counts as one byte.
        ++opened.sequence;
        opened.acknowledgement = got.read.sequence;
        opened.served_by = got.sender;
        send(this->socket, vm, make_packet(opened));
        return opened;
    }

    /// Tries to open a flow until it is refused, and gives the caller.
    socket_address be_refused(socket_address vm)
    {
        flow const refused = this->make_flow();
        static_cast<void>(this->request(vm, make_opening(refused), rst));
        return refused.caller;
    }

    /// Sends an opening once and expects no answer; gives the caller.
    socket_address open_in_vain(socket_address vm)
    {
        flow const lost = this->make_flow();
        send(this->socket, vm, make_opening(lost));
        return lost.caller;
    }

    /// Sends data through an entry VM, and fails the test unless the flow's
    /// upstream acknowledges it and got its own tag: the one that it gave, or
    /// that of its answer to the opening, which is provisional.
    void send_data(socket_address vm, flow& used)
    {
        answer const got = this->request(vm, make_data(used), ack);
        cr_assert(got.sender == used.served_by);
        cr_assert_eq(got.read.echo, used.confirmed_echo);
        used.echo = got.read.echo;
        used.sequence = got.read.acknowledgement;
    }

    /// Sends data again and again until the flow is reset, and gives the
    /// reset.
    [[nodiscard]] answer provoke_reset(socket_address vm, flow const& used)
    {
        return this->request(vm, make_data(used), rst);
    }

private:
    static packet make_packet(flow const& used)
    {
        return {used.echo,
                used.sequence,
                used.acknowledgement,
                ack,
                used.caller,
                route,
                0,
                {}};
    }

    flow make_flow()
    {
        std::uint16_t const port = this->next_port++;
        return {{this->own_address.address, port}, 0, port, 0, {}, 0};
    }

    static packet make_opening(flow const& wanted)
    {
        packet opening = make_packet(wanted);
        opening.flags = syn;
        return opening;
    }

    static packet make_data(flow const& used)
    {
        packet data = make_packet(used);
        data.data = "GET / HTTP/1.1\r\n\r\n";
        return data;
    }

    answer
    request(socket_address vm, packet const& asked, std::uint8_t wanted_flags)
    {
        std::optional<answer> got;
        thin_path::wait_until(
            "an answer to the caller",
            [&]
            {
                send(this->socket, vm, asked);
                // Callers repeat a packet after 200 ms.
                for (int left = 200; left > 0 && !got; --left)
                    got = this->take_answer(asked, wanted_flags);
                return got.has_value();
            });
        return *got;
    }

    std::optional<answer>
    take_answer(packet const& asked, std::uint8_t wanted_flags)
    {
        this->serve();
        pollfd waiting{this->socket.descriptor(), POLLIN, 0};
        ::poll(&waiting, 1, 1);
        while (auto const got = receive(this->socket))
        {
            packet const read = decode(got->bytes);
            bool const is_reset = read.flags == rst;
            // Copies of earlier packets may have been answered late.
            bool const is_late =
                read.destination != asked.source ||
                (!is_reset &&
                 read.acknowledgement != asked.sequence + asked.data.size());
            if (is_late)
                continue;
            cr_assert(!is_reset || wanted_flags == rst, "a flow was reset");
            if (read.flags == wanted_flags)
                return answer{read, got->sender};
        }
        return std::nullopt;
    }

    socket_address own_address;
    udp_socket socket;
    std::function<void()> serve;
    std::uint16_t next_port = 40001;
};

} // namespace cairnhead::tagged_path
