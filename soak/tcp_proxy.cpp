#include <soak/tcp_proxy.hpp>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <poll.h>
#include <sys/socket.h>
#include <system_error>
#include <utility>

namespace cairnhead::soak
{

namespace
{

constexpr int waiting_connections = 64;
constexpr int poll_milliseconds = 5;
constexpr std::int64_t slow_milliseconds = 700;

std::int64_t now_in_milliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

file_descriptor open_stream()
{
    return file_descriptor(
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

/// Closing it then resets the connection.
void reset_on_close(file_descriptor const& stream)
{
    linger const at_once{1, 0};
    ::setsockopt(
        stream.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
}

} // namespace

tcp_proxy::tcp_proxy(socket_address own, socket_address target)
    : target_address(target), listener(open_stream())
{
    int const yes = 1;
    ::setsockopt(
        this->listener.get(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    sockaddr_in const bound = to_sockaddr(own);
    auto const* const plain = reinterpret_cast<sockaddr const*>(&bound);
    bool const is_open =
        ::bind(this->listener.get(), plain, sizeof(bound)) == 0 &&
        ::listen(this->listener.get(), waiting_connections) == 0;
    if (!is_open)
        throw std::system_error(errno, std::generic_category(), "tcp_proxy");
    this->thread = std::thread(
        [this]
        {
            this->run();
        });
}

tcp_proxy::~tcp_proxy()
{
    this->is_ending = true;
    this->thread.join();
}

void tcp_proxy::set_condition(link_condition now)
{
    this->condition = now;
}

void tcp_proxy::run()
{
    while (!this->is_ending)
    {
        std::vector<pollfd> asked{{this->listener.get(), POLLIN, 0}};
        for (connection const& each : this->connections)
        {
            if (each.is_silent)
                continue;
            asked.push_back({each.towards_target.source.get(), POLLIN, 0});
            asked.push_back({each.back.source.get(), POLLIN, 0});
        }
        ::poll(asked.data(), asked.size(), poll_milliseconds);
        this->accept_all();
        this->apply_condition();
        for (connection& each : this->connections)
        {
            if (each.is_silent || each.is_over)
                continue;
            this->pass(each, each.towards_target, each.back, false);
            this->pass(each, each.back, each.towards_target, true);
        }
        std::erase_if(
            this->connections,
            [](connection const& each)
            {
                return each.is_over;
            });
    }
}

void tcp_proxy::accept_all()
{
    while (true)
    {
        file_descriptor taken(::accept4(
            this->listener.get(), nullptr, nullptr,
            SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (taken.get() < 0)
            return;
        connection added;
        added.towards_target.source = std::move(taken);
        added.back.source = open_stream();
        sockaddr_in const target = to_sockaddr(this->target_address);
        // Whether it succeeds shows when bytes are passed on.
        static_cast<void>(::connect(
            added.back.source.get(), reinterpret_cast<sockaddr const*>(&target),
            sizeof(target)));
        this->connections.push_back(std::move(added));
    }
}

void tcp_proxy::apply_condition()
{
    for (connection& each : this->connections)
    {
        if (this->condition == link_condition::silent)
            each.is_silent = true;
        if (this->condition != link_condition::reset)
            continue;
        reset_on_close(each.towards_target.source);
        each.is_over = true;
    }
}

std::int64_t tcp_proxy::own_delay() const
{
    return this->condition == link_condition::slow ? slow_milliseconds : 0;
}

void tcp_proxy::pass(
    connection& passed, direction& from, direction& to, bool is_back)
{
    std::array<char, 65536> buffer{};
    auto const got = ::recv(from.source.get(), buffer.data(), buffer.size(), 0);
    bool const is_closed = got == 0;
    bool const is_failed =
        got < 0 && errno != EAGAIN && errno != ENOTCONN && errno != EINPROGRESS;
    bool const is_lost = is_back && this->condition == link_condition::one_way;
    if (got > 0 && is_lost)
        passed.is_silent = true;
    if (got > 0 && !is_lost)
        from.held.push_back(
            {now_in_milliseconds() + this->own_delay(),
             std::string(buffer.data(), static_cast<std::size_t>(got))});
    this->deliver(passed, from, to);
    if (is_failed || (is_closed && from.held.empty()))
        passed.is_over = true;
}

void tcp_proxy::deliver(connection& passed, direction& from, direction& to)
{
    while (!from.held.empty() &&
           from.held.front().due_at_milliseconds <= now_in_milliseconds())
    {
        std::string& bytes = from.held.front().bytes;
        auto const sent =
            ::send(to.source.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        bool const must_wait =
            sent < 0 && (errno == EAGAIN || errno == ENOTCONN);
        if (must_wait)
            return;
        if (sent < 0)
        {
            passed.is_over = true;
            return;
        }
        bytes.erase(0, static_cast<std::size_t>(sent));
        if (!bytes.empty())
            return;
        from.held.pop_front();
    }
}

} // namespace cairnhead::soak
