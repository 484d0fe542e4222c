#include "host.hpp"

#include <algorithm>
#include <sys/socket.h>
#include <unistd.h>

namespace review
{

namespace
{

constexpr auto heartbeat_period = 1200ms;
constexpr auto work_time = 5ms;

/// Missing packets are repeated after this, doubled up to the maximum, so many
/// times.
constexpr auto first_repeat = 200ms;
constexpr auto longest_repeat = 1600ms;
constexpr int maximum_repeats = 8;

constexpr std::size_t instance_bytes = 8;

milliseconds repeat_after(int repeats)
{
    return std::min<milliseconds>(
        first_repeat * (1 << std::min(repeats, 4)), longest_repeat);
}

std::uint64_t read_instance(std::string const& bytes)
{
    std::uint64_t read = 0;
    for (std::size_t index = 0; index < instance_bytes; ++index)
        read = (read << 8) | static_cast<std::uint8_t>(bytes[index]);
    return read;
}

} // namespace

host::host(
    loop& on, record& into, store& lists, description what, std::uint64_t seed)
    : events(on), seen(into), registry(lists), self(std::move(what)),
      random(static_cast<std::mt19937::result_type>(seed)),
      socket(bind_udp(this->self.address, this->self.port)),
      listener(listen_tcp(this->self.address, this->self.port))
{
    this->events.watch(
        this->socket,
        [this]
        {
            this->take_datagrams();
        });
    this->events.watch(
        this->listener,
        [this]
        {
            // Only connections are checked here; a caller of the health path
            // gets no slot.
            int const accepted =
                ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted >= 0)
                ::close(accepted);
        });
    // Hosts write at times of their own.
    std::uniform_int_distribution<long> first(0, heartbeat_period.count());
    this->register_self();
    this->repeat_registration(milliseconds(first(this->random)));
}

host::description const& host::about() const
{
    return this->self;
}

void host::set_loss(loss network)
{
    this->is_lost = std::move(network);
}

bool host::holds(std::uint32_t caller, std::uint16_t caller_flow_port) const
{
    return std::ranges::any_of(
        this->flows,
        [&](auto const& each)
        {
            return each.first.first == caller &&
                   (each.first.second >> 48) == caller_flow_port &&
                   each.second->now == state::open;
        });
}

void host::register_self()
{
    this->registry.put(
        "servers/" + this->self.id,
        R"({"service":")" + this->self.service + R"(","address":")" +
            to_text(this->self.address) + ":" +
            std::to_string(this->self.port) + R"(","zone":")" +
            this->self.zone +
            R"(","configVersion":"v1","slots":3,"state":"ready",)" +
            R"("coldLeftMs":0,"seqNo":)" + std::to_string(++this->beats) + "}");
}

void host::repeat_registration(milliseconds after)
{
    this->events.after(
        after,
        [this]
        {
            this->register_self();
            this->repeat_registration(heartbeat_period);
        });
}

void host::take_datagrams()
{
    char buffer[2048];
    auto const count = ::recv(this->socket, buffer, sizeof(buffer), 0);
    if (count < static_cast<ssize_t>(instance_bytes))
        return;
    std::string const bytes(buffer, static_cast<std::size_t>(count));
    std::uint64_t const meant = read_instance(bytes);
    // Not the host that is meant: sends nothing.
    if (meant != 0 && meant != this->self.number)
        return;
    auto const read = read_packet(bytes.substr(instance_bytes));
    if (!read || !read->is_genuine)
        return this->seen.write(
            "host " + this->self.id + " got a packet that no caller wrote");
    this->take(*read);
}

host::flow_key host::key_of(packet const& arrived)
{
    return {
        arrived.source, (std::uint64_t{arrived.source_port} << 48) |
                            (std::uint64_t{arrived.destination_port} << 32) |
                            arrived.destination};
}

void host::take(packet const& arrived)
{
    if (arrived.has(flag::syn))
        return this->take_opening(arrived);
    auto const found = this->flows.find(key_of(arrived));
    if (arrived.has(flag::rst))
    {
        if (found != this->flows.end())
            this->flows.erase(found);
        return;
    }
    if (found == this->flows.end())
        return this->refuse(arrived);
    flow_ptr const known = found->second;
    if (known->now == state::answered_opening)
    {
        // The flow opens only at the host whose number is acknowledged.
        if (arrived.acknowledgement != known->first + 1)
            return this->refuse(arrived);
        known->now = state::open;
        known->acknowledged = known->next_sent = known->first + 1;
        this->seen.write(
            "host " + this->self.id +
            " flow opens caller=" + to_text(arrived.source) + ":" +
            std::to_string(arrived.source_port));
    }
    known->echo = arrived.echo;
    this->take_data(known, arrived);
}

void host::take_opening(packet const& arrived)
{
    auto& known = this->flows[key_of(arrived)];
    bool const is_new = known == nullptr;
    if (!is_new && known->now == state::open)
        return;
    if (is_new)
    {
        known = std::make_shared<flow>();
        known->opening = arrived;
        known->first = static_cast<std::uint32_t>(this->random());
        known->next_received = arrived.sequence + 1;
        this->seen.write(
            "host " + this->self.id + " service=" + this->self.service +
            " takes opening caller=" + to_text(arrived.source) + ":" +
            std::to_string(arrived.source_port) +
            " route=" + to_text(arrived.destination) + ":" +
            std::to_string(arrived.destination_port));
    }
    known->echo = arrived.echo;
    this->answer_opening(known);
    if (is_new)
        this->repeat_opening_answer(known);
}

void host::answer_opening(flow_ptr const& known)
{
    this->reply(*known, flag::syn | flag::ack, known->first, {});
}

void host::repeat_opening_answer(flow_ptr const& known)
{
    this->events.after(
        repeat_after(known->repeats),
        [this, known]
        {
            if (known->now != state::answered_opening)
                return;
            if (known->repeats++ == maximum_repeats)
            {
                auto const key = key_of(known->opening);
                auto const found = this->flows.find(key);
                if (found != this->flows.end() && found->second == known)
                    this->flows.erase(found);
                return this->seen.write(
                    "host " + this->self.id + " gives up opening caller=" +
                    to_text(known->opening.source) + ":" +
                    std::to_string(known->opening.source_port));
            }
            this->answer_opening(known);
            this->repeat_opening_answer(known);
        });
}

void host::take_data(flow_ptr const& known, packet const& arrived)
{
    auto const ahead = static_cast<std::int32_t>(
        arrived.acknowledgement - known->acknowledged);
    if (ahead > 0)
    {
        known->acknowledged = arrived.acknowledgement;
        if (known->acknowledged == known->next_sent)
            known->unacknowledged.clear();
    }
    bool const is_next = arrived.sequence == known->next_received;
    if (is_next)
        known->next_received += static_cast<std::uint32_t>(arrived.data.size());
    if (arrived.has(flag::fin) && is_next && !known->has_closed)
    {
        known->has_closed = true;
        ++known->next_received;
        this->reply(*known, flag::ack | flag::fin, known->next_sent, {});
        this->flows.erase(key_of(arrived));
        return;
    }
    if (arrived.data.empty())
        return;
    this->reply(*known, flag::ack, known->next_sent, {});
    if (!is_next)
        return;
    known->request += arrived.data;
    auto const end = known->request.find("\r\n\r\n");
    if (end == std::string::npos)
        return;
    this->run(known, known->request.substr(0, end));
    known->request.erase(0, end + 4);
}

void host::run(flow_ptr const& known, std::string const& request)
{
    auto const begin = request.find("X-Attempt-Id: ") + 14;
    std::string const attempt =
        request.substr(begin, request.find('\r', begin) - begin);
    this->seen.write(
        "host " + this->self.id + " service=" + this->self.service +
        " runs attempt=" + attempt +
        " route=" + to_text(known->opening.destination) + ":" +
        std::to_string(known->opening.destination_port));
    this->events.after(
        work_time,
        [this, known, attempt]
        {
            std::string const body = "done " + attempt;
            this->send_answer(
                known, "HTTP/1.1 200 OK\r\nX-Response-Stamp: " + this->self.id +
                           "\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body);
        });
}

void host::send_answer(flow_ptr const& known, std::string const& text)
{
    std::uint32_t const sequence = known->next_sent;
    known->unacknowledged = text;
    known->next_sent += static_cast<std::uint32_t>(text.size());
    known->repeats = 0;
    this->reply(*known, flag::ack, sequence, text);
    this->repeat_answer(known, sequence);
}

void host::repeat_answer(flow_ptr const& known, std::uint32_t sequence)
{
    this->events.after(
        repeat_after(known->repeats),
        [this, known, sequence]
        {
            bool const is_answered =
                known->unacknowledged.empty() || known->has_closed;
            if (is_answered || known->repeats++ == maximum_repeats)
                return;
            this->reply(*known, flag::ack, sequence, known->unacknowledged);
            this->repeat_answer(known, sequence);
        });
}

void host::refuse(packet const& arrived)
{
    packet sent;
    sent.echo = arrived.echo;
    sent.flags = flag::rst;
    sent.sequence = arrived.acknowledgement;
    sent.source = arrived.destination;
    sent.source_port = arrived.destination_port;
    sent.destination = arrived.source;
    sent.destination_port = arrived.source_port;
    this->seen.write(
        "host " + this->self.id + " resets a flow that it does not hold" +
        " caller=" + to_text(arrived.source) + ":" +
        std::to_string(arrived.source_port));
    this->send(sent);
}

void host::reply(
    flow const& from,
    std::uint8_t flags,
    std::uint32_t sequence,
    std::string const& data)
{
    packet sent;
    sent.echo = from.echo;
    sent.flags = flags;
    sent.sequence = sequence;
    sent.acknowledgement = from.next_received;
    sent.source = from.opening.destination;
    sent.source_port = from.opening.destination_port;
    sent.destination = from.opening.source;
    sent.destination_port = from.opening.source_port;
    sent.data = data;
    this->send(sent);
}

void host::send(packet const& sent)
{
    if (this->is_lost && this->is_lost(*this, sent))
    {
        this->seen.write(
            "network loses a packet of host " + this->self.id +
            " flags=" + std::to_string(sent.flags));
        return;
    }
    send_udp(this->socket, sent.destination, caller_port, write_packet(sent));
}

} // namespace review
