#include <runtime/connection_checker.hpp>

#include <runtime/sockaddr.hpp>

#include <algorithm>
#include <cerrno>
#include <optional>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

namespace cairnhead
{

namespace
{

using std::chrono_literals::operator""ms;

/// Several at once: on links that lose packets a single one may vanish, and
/// the kernel sends it again only after a second.
constexpr std::size_t connections_per_check = 3;

constexpr std::size_t maximum_checks = 32;

/// Far above what a machine in reach takes.
constexpr duration answer_timeout = 200ms;

file_descriptor connect_to(check_upstream const& wanted)
{
    file_descriptor opened(
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (opened.get() < 0)
        return opened;
    sockaddr_in const target = to_sockaddr({wanted.address, wanted.port});
    // Its outcome is read later.
    static_cast<void>(::connect(
        opened.get(), reinterpret_cast<sockaddr const*>(&target),
        sizeof(target)));
    return opened;
}

/// How the connection stands; nothing while it is being made.
std::optional<connection_outcome> outcome_of(file_descriptor const& socket)
{
    pollfd asked{socket.get(), POLLOUT, 0};
    if (::poll(&asked, 1, 0) <= 0)
        return std::nullopt;
    int error = 0;
    socklen_t size = sizeof(error);
    ::getsockopt(socket.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error == 0)
        return connection_outcome::connected;
    return error == ECONNREFUSED || error == ECONNRESET
               ? connection_outcome::refused
               : connection_outcome::unanswered;
}

/// The best of all outcomes; nothing while none is known.
std::optional<connection_outcome>
best_outcome(std::span<file_descriptor const> sockets)
{
    std::optional<connection_outcome> best;
    for (file_descriptor const& socket : sockets)
    {
        auto const outcome = outcome_of(socket);
        // One that failed for this VM's own reasons says nothing.
        if (!outcome || *outcome == connection_outcome::unanswered)
            continue;
        best = best ? std::min(*best, *outcome) : *outcome;
    }
    return best;
}

} // namespace

void connection_checker::start(check_upstream const& wanted, time_point now)
{
    attempt started{wanted.upstream, now + answer_timeout, {}};
    bool const has_room = this->running.size() < maximum_checks;
    for (std::size_t count = 0; has_room && count < connections_per_check;
         ++count)
    {
        file_descriptor socket = connect_to(wanted);
        if (socket.get() >= 0)
            started.sockets.push_back(std::move(socket));
    }
    if (started.sockets.empty())
        this->ended.push_back({wanted.upstream, connection_outcome::connected});
    else
        this->running.push_back(std::move(started));
}

std::vector<upstream_checked> connection_checker::take_ended(time_point now)
{
    std::erase_if(
        this->running,
        [this, now](attempt const& one)
        {
            auto outcome = best_outcome(one.sockets);
            if (!outcome && now >= one.deadline)
                outcome = connection_outcome::unanswered;
            if (outcome)
                this->ended.push_back({one.upstream, *outcome});
            return outcome.has_value();
        });
    return std::exchange(this->ended, {});
}

} // namespace cairnhead
