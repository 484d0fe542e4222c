#include "loop.hpp"

#include <arpa/inet.h>
#include <cstdlib>
#include <iostream>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review
{

namespace
{

sockaddr_in make_address(std::uint32_t address, std::uint16_t port)
{
    sockaddr_in made{};
    made.sin_family = AF_INET;
    made.sin_addr.s_addr = htonl(address);
    made.sin_port = htons(port);
    return made;
}

int open_bound(int type, std::uint32_t address, std::uint16_t port)
{
    int const opened =
        ::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int const on = 1;
    ::setsockopt(opened, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto const place = make_address(address, port);
    if (::bind(
            opened, reinterpret_cast<sockaddr const*>(&place), sizeof(place)) !=
        0)
        give_up("cannot bind " + to_text(address));
    return opened;
}

} // namespace

void give_up(std::string const& why)
{
    std::cerr << "the case could not run: " << why << "\n";
    std::exit(2);
}

std::uint32_t loopback(unsigned prefix, unsigned third, unsigned fourth)
{
    return (127U << 24) | (prefix << 16) | (third << 8) | fourth;
}

std::string to_text(std::uint32_t address)
{
    std::string text;
    for (int shift = 24; shift >= 0; shift -= 8)
    {
        text += std::to_string((address >> shift) & 0xff);
        text += shift > 0 ? "." : "";
    }
    return text;
}

unsigned claim_prefix()
{
    constexpr unsigned first = 20;
    constexpr unsigned count = 200;
    // Other processes may use loopback addresses; a run beside this one does.
    for (unsigned tried = 0; tried < count; ++tried)
    {
        unsigned const prefix =
            first + (static_cast<unsigned>(::getpid()) + tried) % count;
        int const claimed = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto const place = make_address(loopback(prefix, 255, 1), 1 << 13);
        bool const is_free =
            ::bind(
                claimed, reinterpret_cast<sockaddr const*>(&place),
                sizeof(place)) == 0;
        // Kept open until the program ends.
        if (is_free)
            return prefix;
        ::close(claimed);
    }
    give_up("no addresses are free");
}

int bind_udp(std::uint32_t address, std::uint16_t port)
{
    return open_bound(SOCK_DGRAM, address, port);
}

int listen_tcp(std::uint32_t address, std::uint16_t port)
{
    int const opened = open_bound(SOCK_STREAM, address, port);
    if (::listen(opened, 128) != 0)
        give_up("cannot listen at " + to_text(address));
    return opened;
}

void send_udp(
    int socket,
    std::uint32_t address,
    std::uint16_t port,
    std::string const& bytes)
{
    auto const place = make_address(address, port);
    // A datagram that cannot be sent is lost, as on a network.
    static_cast<void>(::sendto(
        socket, bytes.data(), bytes.size(), MSG_DONTWAIT,
        reinterpret_cast<sockaddr const*>(&place), sizeof(place)));
}

void loop::watch(int descriptor, handler on_readable)
{
    this->descriptors[descriptor] = {POLLIN, std::move(on_readable)};
}

void loop::watch_connect(int descriptor, handler on_writable)
{
    this->descriptors[descriptor] = {POLLOUT, std::move(on_writable)};
}

void loop::unwatch(int descriptor)
{
    this->descriptors.erase(descriptor);
}

void loop::at(time_point moment, handler work)
{
    this->timers.emplace(moment, std::move(work));
}

void loop::after(milliseconds delay, handler work)
{
    this->at(clock::now() + delay, std::move(work));
}

void loop::run_for(milliseconds length)
{
    auto const end = clock::now() + length;
    while (clock::now() < end)
        this->run_once(end);
}

bool loop::run_until(std::function<bool()> const& holds, milliseconds at_most)
{
    auto const end = clock::now() + at_most;
    while (!holds())
    {
        if (clock::now() >= end)
            return false;
        this->run_once(std::min(end, clock::now() + 5ms));
    }
    return true;
}

void loop::run_once(time_point until)
{
    if (!this->timers.empty())
        until = std::min(until, this->timers.begin()->first);
    auto const left =
        std::chrono::ceil<milliseconds>(until - clock::now()).count();
    std::vector<pollfd> asked;
    for (auto const& [descriptor, each] : this->descriptors)
        asked.push_back({descriptor, each.events, 0});
    ::poll(asked.data(), asked.size(), left > 0 ? static_cast<int>(left) : 0);
    for (pollfd const& one : asked)
    {
        if (one.revents == 0)
            continue;
        auto const found = this->descriptors.find(one.fd);
        if (found == this->descriptors.end())
            continue;
        auto const run = found->second.run;
        run();
    }
    while (!this->timers.empty() && this->timers.begin()->first <= clock::now())
    {
        auto const work = std::move(this->timers.begin()->second);
        this->timers.erase(this->timers.begin());
        work();
    }
}

record::record(std::string const& path) : out(path)
{
    if (!this->out)
        give_up("cannot write the record");
}

void record::write(std::string const& line)
{
    this->out << this->now() << " " << line << "\n" << std::flush;
}

long record::now() const
{
    return std::chrono::duration_cast<milliseconds>(
               clock::now() - this->started)
        .count();
}

} // namespace review
