#include "caller.hpp"

#include "host.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace review
{

namespace
{

constexpr auto first_repeat = 200ms;
constexpr auto longest_repeat = 1600ms;
constexpr auto opening_timeout = 1400ms;
/// The request's time limit.
constexpr int maximum_repeats = 5;

} // namespace

caller::caller(
    loop& on,
    record& into,
    fleet const& by,
    std::uint32_t own,
    std::string in_zone,
    std::uint64_t seed)
    : events(on), seen(into), machines(by), self(own), zone(std::move(in_zone)),
      random(static_cast<std::mt19937::result_type>(seed)),
      socket(bind_udp(own, caller_port))
{
    this->events.watch(
        this->socket,
        [this]
        {
            this->take_datagrams();
        });
}

std::uint32_t caller::address() const
{
    return this->self;
}

std::string caller::describe(flow const& of) const
{
    return "caller " + to_text(this->self) + ":" + std::to_string(of.port);
}

caller::flow_ptr caller::open(std::uint32_t route, std::uint16_t port)
{
    return this->open_from(this->next_port++, route, port);
}

caller::flow_ptr caller::open_from(
    std::uint16_t own_port, std::uint32_t route, std::uint16_t port)
{
    auto made = std::make_shared<flow>();
    made->port = own_port;
    made->route = route;
    made->route_port = port;
    made->next_sent = static_cast<std::uint32_t>(this->random());
    this->flows[own_port] = made;
    this->send_opening(made);
    for (auto const after : {200ms, 600ms})
    {
        this->events.after(
            after,
            [this, made]
            {
                if (made->state != flow_state::opening)
                    return;
                ++made->opening_copies;
                this->send_opening(made);
            });
    }
    this->events.after(
        opening_timeout,
        [this, made]
        {
            if (made->state != flow_state::opening)
                return;
            made->state = flow_state::unanswered;
            this->seen.write(this->describe(*made) + " opening unanswered");
        });
    return made;
}

void caller::request(flow_ptr const& on, std::string const& attempt)
{
    on->attempt = attempt;
    this->pending[on->port] =
        "POST /offer HTTP/1.1\r\nHost: route\r\nX-Attempt-Id: " + attempt +
        "\r\nContent-Length: 0\r\n\r\n";
    if (on->state == flow_state::open)
        this->send_request(on);
}

void caller::close(flow_ptr const& on)
{
    if (on->state != flow_state::open)
        return;
    this->send(on, flag::fin | flag::ack, on->next_sent, {});
    on->state = flow_state::closed;
}

std::string caller::machine_of(flow const& of) const
{
    packet sent;
    sent.source = this->self;
    sent.source_port = of.port;
    sent.destination = of.route;
    sent.destination_port = of.route_port;
    machine const* const one = this->machines.route(this->zone, sent);
    return one == nullptr ? std::string() : one->name;
}

void caller::take_datagrams()
{
    char buffer[2048];
    sockaddr_in sender{};
    socklen_t length = sizeof(sender);
    auto const count = ::recvfrom(
        this->socket, buffer, sizeof(buffer), 0,
        reinterpret_cast<sockaddr*>(&sender), &length);
    if (count <= 0)
        return;
    auto const read =
        read_packet(std::string(buffer, static_cast<std::size_t>(count)));
    if (read)
        this->take(*read, ntohl(sender.sin_addr.s_addr));
}

void caller::take(packet const& arrived, std::uint32_t sender)
{
    auto const found = this->flows.find(arrived.destination_port);
    if (found == this->flows.end())
        return;
    flow_ptr const of = found->second;
    if (of->state != flow_state::opening && of->state != flow_state::open)
        return;
    if (arrived.has(flag::rst))
    {
        this->seen.write(
            this->describe(*of) + " is reset by " + to_text(sender) +
            " attempt=" + of->attempt);
        of->state = flow_state::reset;
        of->reset_by = sender;
        of->reset_at = clock::now();
        of->reset_after = of->machine;
        return;
    }
    // Whoever answered last: its echo goes into the next packets.
    of->echo = arrived.echo;
    if (arrived.has(flag::syn))
        return this->take_opening_answer(of, arrived);
    if (of->state == flow_state::open)
        this->take_data(of, arrived);
}

void caller::take_opening_answer(flow_ptr const& of, packet const& arrived)
{
    if (of->state == flow_state::opening)
    {
        of->state = flow_state::open;
        ++of->next_sent;
        of->acknowledged = of->next_sent;
        of->next_received = arrived.sequence + 1;
        this->seen.write(this->describe(*of) + " opens");
    }
    // Also the answer of another host is acknowledged with the numbers of the
    // flow, as by any TCP.
    this->send(of, flag::ack, of->next_sent, {});
    if (this->pending.contains(of->port) && of->unacknowledged.empty())
        this->send_request(of);
}

void caller::take_data(flow_ptr const& of, packet const& arrived)
{
    auto const ahead =
        static_cast<std::int32_t>(arrived.acknowledgement - of->acknowledged);
    if (ahead > 0)
        of->acknowledged = arrived.acknowledgement;
    if (of->acknowledged == of->next_sent)
        of->unacknowledged.clear();
    if (arrived.data.empty())
        return;
    if (arrived.sequence == of->next_received)
    {
        of->next_received += static_cast<std::uint32_t>(arrived.data.size());
        of->received += arrived.data;
    }
    this->send(of, flag::ack, of->next_sent, {});
    if (of->received.find("\r\n\r\ndone " + of->attempt) == std::string::npos)
        return;
    of->received.clear();
    ++of->answers;
    this->seen.write(
        this->describe(*of) + " is answered attempt=" + of->attempt);
}

void caller::send_opening(flow_ptr const& of)
{
    packet sent;
    sent.flags = flag::syn;
    sent.sequence = of->next_sent;
    sent.acknowledgement = static_cast<std::uint32_t>(of->opening_copies);
    sent.source = this->self;
    sent.source_port = of->port;
    sent.destination = of->route;
    sent.destination_port = of->route_port;
    machine const* const by = this->machines.route(this->zone, sent);
    if (by == nullptr)
        return;
    of->machine = by->name;
    this->seen.write(
        this->describe(*of) + " sends opening route=" + to_text(of->route) +
        ":" + std::to_string(of->route_port) + " machine=" + by->name);
    send_udp(this->socket, by->address, caller_port, write_packet(sent));
}

void caller::send_request(flow_ptr const& of)
{
    auto const wanted = this->pending.find(of->port);
    std::uint32_t const sequence = of->next_sent;
    of->unacknowledged = wanted->second;
    of->next_sent += static_cast<std::uint32_t>(wanted->second.size());
    of->repeats = 0;
    this->pending.erase(wanted);
    this->send(of, flag::ack, sequence, of->unacknowledged);
    this->seen.write(
        this->describe(*of) + " sends attempt=" + of->attempt +
        " echo=" + std::to_string(of->echo) + " machine=" + of->machine);
    this->repeat_request(of, sequence);
}

void caller::repeat_request(flow_ptr const& of, std::uint32_t sequence)
{
    this->events.after(
        std::min<milliseconds>(
            first_repeat * (1 << of->repeats), longest_repeat),
        [this, of, sequence]
        {
            bool const is_over = of->state != flow_state::open ||
                                 of->unacknowledged.empty() ||
                                 of->repeats == maximum_repeats;
            if (is_over)
                return;
            ++of->repeats;
            this->send(of, flag::ack, sequence, of->unacknowledged);
            this->repeat_request(of, sequence);
        });
}

void caller::send(
    flow_ptr const& of,
    std::uint8_t flags,
    std::uint32_t sequence,
    std::string const& data)
{
    packet sent;
    sent.echo = of->echo;
    sent.flags = flags;
    sent.sequence = sequence;
    sent.acknowledgement = of->next_received;
    sent.source = this->self;
    sent.source_port = of->port;
    sent.destination = of->route;
    sent.destination_port = of->route_port;
    sent.data = data;
    machine const* const by = this->machines.route(this->zone, sent);
    if (by == nullptr)
        return;
    of->machine = by->name;
    send_udp(this->socket, by->address, caller_port, write_packet(sent));
}

} // namespace review
