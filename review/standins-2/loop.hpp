#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <string>

/// A single-threaded event loop, and the record of what the stand-ins saw.
namespace review
{

using clock = std::chrono::steady_clock;
using time_point = clock::time_point;
using std::chrono::milliseconds;
using std::chrono_literals::operator""ms;

class loop
{
public:
    using handler = std::function<void()>;

    /// Calls the handler whenever the descriptor can be read.
    void watch(int descriptor, handler on_readable);
    /// Calls the handler once, when a connection attempt has ended.
    void watch_connect(int descriptor, handler on_writable);
    void unwatch(int descriptor);
    void at(time_point moment, handler work);
    void after(milliseconds delay, handler work);

    void run_for(milliseconds length);
    /// Runs until the condition holds; false if the time is up before.
    bool run_until(std::function<bool()> const& holds, milliseconds at_most);

private:
    void run_once(time_point until);

    struct watched
    {
        short events = 0;
        handler run;
    };
    std::map<int, watched> descriptors;
    std::multimap<time_point, handler> timers;
};

/// Writes one line for each thing that was sent, answered or run, with the
/// milliseconds since the start of the case.
class record
{
public:
    explicit record(std::string const& path);
    void write(std::string const& line);
    [[nodiscard]] long now() const;

private:
    std::ofstream out;
    time_point started = clock::now();
};

/// A prefix whose addresses no other run uses.
unsigned claim_prefix();
/// The address 127.PREFIX.third.fourth, in host byte order.
std::uint32_t loopback(unsigned prefix, unsigned third, unsigned fourth);
std::string to_text(std::uint32_t address);
/// A bound UDP socket, or a listening TCP socket. Ends the program with exit
/// code 2 if the address is taken.
int bind_udp(std::uint32_t address, std::uint16_t port);
int listen_tcp(std::uint32_t address, std::uint16_t port);
void send_udp(
    int socket,
    std::uint32_t address,
    std::uint16_t port,
    std::string const& bytes);
/// Ends the program with exit code 2: the case could not run.
[[noreturn]] void give_up(std::string const& why);

} // namespace review
