#include "parties.hpp"

#include <thin_path/wait_until.hpp>

#include <base/ipv4.hpp>
#include <packet/byte_order.hpp>
#include <runtime/sockaddr.hpp>

#include <array>
#include <criterion/criterion.h>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <utility>

namespace cairnhead::tagged_path
{

namespace
{

using byte_vector = std::vector<std::uint8_t>;
using steady = std::chrono::steady_clock;

constexpr std::size_t header_bytes = 31;
constexpr std::size_t instance_bytes = 8;
constexpr std::size_t maximum_bytes = 1500;
constexpr int backlog = 16;

/// Callers repeat a packet after this.
constexpr std::chrono::milliseconds repeat_after(200);

byte_vector encode(packet const& written)
{
    byte_vector bytes(header_bytes);
    write_uint32(bytes, 0, written.echo);
    write_uint32(bytes, 4, written.sequence);
    write_uint32(bytes, 8, written.acknowledgement);
    bytes[12] = written.flags;
    write_uint32(bytes, 13, written.source.address.value());
    write_uint16(bytes, 17, written.destination.port);
    write_uint16(bytes, 19, written.source.port);
    write_uint32(bytes, 21, written.destination.address.value());
    write_uint16(bytes, 25, static_cast<std::uint16_t>(written.data.size()));
    write_uint32(bytes, 27, written.sum);
    bytes.insert(bytes.end(), written.data.begin(), written.data.end());
    return bytes;
}

packet decode(std::span<std::uint8_t const> bytes, socket_address sender)
{
    cr_assert_geq(bytes.size(), header_bytes);
    cr_assert_eq(bytes.size(), header_bytes + read_uint16(bytes, 25));
    packet got;
    got.echo = read_uint32(bytes, 0);
    got.sequence = read_uint32(bytes, 4);
    got.acknowledgement = read_uint32(bytes, 8);
    got.flags = bytes[12];
    got.source = {ipv4_address(read_uint32(bytes, 13)), read_uint16(bytes, 19)};
    got.destination = {
        ipv4_address(read_uint32(bytes, 21)), read_uint16(bytes, 17)};
    got.sum = read_uint32(bytes, 27);
    auto const data = bytes.subspan(header_bytes);
    got.data.assign(data.begin(), data.end());
    got.sender = sender;
    return got;
}

void send(udp_socket const& from, socket_address to, packet const& written)
{
    byte_vector const bytes = encode(written);
    sockaddr_in const target = to_sockaddr(to);
    // What cannot be sent counts as lost; callers repeat it.
    ::sendto(
        from.descriptor(), bytes.data(), bytes.size(), 0,
        reinterpret_cast<sockaddr const*>(&target), sizeof(target));
}

/// The next datagram that has arrived.
std::optional<std::pair<byte_vector, socket_address>>
receive(udp_socket const& at)
{
    byte_vector bytes(maximum_bytes);
    sockaddr_in sender{};
    socklen_t size = sizeof(sender);
    auto const received = ::recvfrom(
        at.descriptor(), bytes.data(), bytes.size(), 0,
        reinterpret_cast<sockaddr*>(&sender), &size);
    if (received < 0)
        return std::nullopt;
    bytes.resize(static_cast<std::size_t>(received));
    return std::pair(std::move(bytes), from_sockaddr(sender));
}

file_descriptor open_stream()
{
    return file_descriptor(
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

file_descriptor listen_at(socket_address own)
{
    file_descriptor opened = open_stream();
    int const yes = 1;
    ::setsockopt(opened.get(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    sockaddr_in const bound = to_sockaddr(own);
    cr_assert_eq(
        ::bind(
            opened.get(), reinterpret_cast<sockaddr const*>(&bound),
            sizeof(bound)),
        0);
    cr_assert_eq(::listen(opened.get(), backlog), 0);
    return opened;
}

bool is_connected(file_descriptor const& stream)
{
    pollfd asked{stream.get(), POLLOUT, 0};
    return ::poll(&asked, 1, 0) > 0;
}

} // namespace

upstream_standin::upstream_standin(
    socket_address own, std::uint64_t instance, std::uint16_t to_port)
    : own_address(own), own_instance(instance), caller_port(to_port),
      socket(own), listener(listen_at(own))
{
}

std::string upstream_standin::key() const
{
    std::ostringstream text;
    text << "servers/i-" << std::hex << this->own_instance;
    return text.str();
}

std::string upstream_standin::address_text() const
{
    return format_ipv4(this->own_address.address) + ":" +
           std::to_string(this->own_address.port);
}

socket_address upstream_standin::address() const
{
    return this->own_address;
}

void upstream_standin::serve()
{
    if (this->is_silent)
        return;
    this->accept_connections();
    while (auto const got = receive(this->socket))
    {
        std::span<std::uint8_t const> const bytes(got->first);
        cr_assert_geq(bytes.size(), instance_bytes);
        std::uint64_t const high = read_uint32(bytes, 0);
        cr_assert_eq(high << 32 | read_uint32(bytes, 4), this->own_instance);
        this->answer(decode(bytes.subspan(instance_bytes), got->second));
    }
}

void upstream_standin::answer(packet const& got)
{
    packet reply;
    reply.echo = got.echo;
    reply.source = got.destination;
    reply.destination = got.source;
    reply.sequence = static_cast<std::uint32_t>(this->own_instance) * 1000;
    bool const is_opening = got.flags == syn;
    if (is_opening)
        this->flows.insert(got.source.port);
    bool const is_held = this->flows.contains(got.source.port);
    if (is_held && !is_opening && got.data.empty())
        return;
    reply.flags = is_opening ? syn | ack : ack;
    reply.acknowledgement =
        got.sequence + static_cast<std::uint32_t>(got.data.size());
    if (!is_held)
        reply.flags = rst;
    send(this->socket, {got.source.address, this->caller_port}, reply);
}

void upstream_standin::accept_connections() const
{
    while (file_descriptor(::accept(this->listener.get(), nullptr, nullptr))
               .get() >= 0)
    {
    }
}

void upstream_standin::go_silent()
{
    this->accept_connections();
    this->is_silent = true;
    // The kernel answers no further attempt to connect while the queue of
    // connections that nobody takes is full.
    cr_assert_eq(::listen(this->listener.get(), 0), 0);
    sockaddr_in const target = to_sockaddr(this->own_address);
    thin_path::wait_until(
        "connections hang",
        [&]
        {
            file_descriptor& added = this->fillers.emplace_back(open_stream());
            // Its outcome is read below.
            static_cast<void>(::connect(
                added.get(), reinterpret_cast<sockaddr const*>(&target),
                sizeof(target)));
            return !is_connected(added);
        });
}

caller::caller(socket_address own, std::function<void()> serve_others)
    : own_address(own), socket(own), serve(std::move(serve_others))
{
}

flow caller::open(socket_address vm)
{
    flow opened;
    opened.port = this->next_port++;
    packet opening;
    opening.flags = syn;
    opening.source = this->address_of(opened);
    opening.destination = route;
    opening.sequence = opened.port;
    packet const answer = this->request(vm, opening, syn | ack);
    opened.echo = answer.echo;
    opened.sequence = opening.sequence;
    opened.acknowledgement = answer.sequence;
    opened.served_by = answer.sender;
    return opened;
}

void caller::send_data(socket_address vm, flow& used)
{
    packet const data = this->make_data(used);
    packet const answer = this->request(vm, data, ack);
    cr_assert(answer.sender == used.served_by);
    cr_assert_eq(answer.echo, used.echo);
    used.sequence = answer.acknowledgement;
}

packet caller::provoke_reset(socket_address vm, flow const& used)
{
    return this->request(vm, this->make_data(used), rst);
}

socket_address caller::address_of(flow const& used) const
{
    return {this->own_address.address, used.port};
}

packet caller::make_data(flow const& used) const
{
    packet data;
    data.echo = used.echo;
    data.flags = ack;
    data.source = this->address_of(used);
    data.destination = route;
    data.sequence = used.sequence;
    data.acknowledgement = used.acknowledgement;
    data.data = "GET / HTTP/1.1\r\n\r\n";
    return data;
}

packet caller::request(
    socket_address vm, packet const& asked, std::uint8_t wanted_flags)
{
    std::optional<packet> answer;
    thin_path::wait_until(
        "an answer to the caller",
        [&]
        {
            send(this->socket, vm, asked);
            answer = this->await(asked, wanted_flags);
            return answer.has_value();
        });
    return *answer;
}

std::optional<packet>
caller::await(packet const& asked, std::uint8_t wanted_flags)
{
    auto const expected = asked.sequence + asked.data.size();
    for (auto const until = steady::now() + repeat_after;
         steady::now() < until;)
    {
        this->serve();
        pollfd waiting{this->socket.descriptor(), POLLIN, 0};
        ::poll(&waiting, 1, 1);
        while (auto const got = receive(this->socket))
        {
            packet const read = decode(got->first, got->second);
            // Copies of earlier packets may have been answered late.
            if (read.destination != asked.source)
                continue;
            bool const is_reset = read.flags == rst;
            cr_assert(!is_reset || wanted_flags == rst, "a flow was reset");
            bool const is_answer = is_reset || read.acknowledgement == expected;
            if (read.flags == wanted_flags && is_answer)
                return read;
        }
    }
    return std::nullopt;
}

} // namespace cairnhead::tagged_path
