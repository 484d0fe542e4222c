#include <runtime/connection_checker.hpp>

#include <runtime/sockaddr.hpp>

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

namespace cairnhead
{

namespace
{

/// Several at once: on links that lose packets a single one may vanish, and
/// the kernel sends it again only after a second.
constexpr std::size_t connections_to_suspect = 4;

/// Bounds the descriptors that they and their witnesses take.
constexpr std::size_t maximum_checks = 32;

/// Does not wait; an invalid descriptor when no socket can be had.
file_descriptor connect_to(connection_target const& wanted)
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

void add_connection(
    connection_target const& wanted, std::vector<file_descriptor>& sockets)
{
    file_descriptor socket = connect_to(wanted);
    if (socket.get() >= 0)
        sockets.push_back(std::move(socket));
}

connection_state state_of(file_descriptor const& socket)
{
    pollfd asked{socket.get(), POLLOUT, 0};
    if (::poll(&asked, 1, 0) <= 0)
        return connection_state::pending;
    int error = 0;
    socklen_t size = sizeof(error);
    ::getsockopt(socket.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error == 0)
        return connection_state::accepted;
    // One that failed for this VM's own reasons says nothing.
    return error == ECONNREFUSED || error == ECONNRESET
               ? connection_state::refused
               : connection_state::pending;
}

connection_state best_of(std::span<file_descriptor const> sockets)
{
    auto best = connection_state::pending;
    for (file_descriptor const& socket : sockets)
        best = std::max(best, state_of(socket));
    return best;
}

} // namespace

connection_checker::attempt
connection_checker::connect(check_upstream const& wanted, time_point now)
{
    attempt started{wanted.upstream,       wanted.life, now,
                    connection_check(now), {},          {}};
    // The suspect first: a witness's answer must show that what was sent to
    // the suspect has left this VM as well.
    for (std::size_t count = 0; count < connections_to_suspect; ++count)
        add_connection(wanted.suspect, started.suspects);
    for (connection_target const& witness : wanted.witnesses)
        add_connection(witness, started.witnesses);
    return started;
}

void connection_checker::start(check_upstream const& wanted, time_point now)
{
    if (this->running.size() >= maximum_checks)
    {
        this->ended.push_back(
            {{wanted.upstream, connection_outcome::inconclusive, wanted.life},
             {}});
        return;
    }
    attempt started = this->connect(wanted, now);
    if (started.suspects.empty())
        this->ended.push_back(
            {{wanted.upstream, connection_outcome::inconclusive, wanted.life},
             {}});
    else
        this->running.push_back(std::move(started));
}

std::vector<ended_check> connection_checker::take_ended(time_point now)
{
    std::erase_if(
        this->running,
        [this, now](attempt& one)
        {
            auto const outcome = one.trial.evaluate(
                now, {best_of(one.suspects), best_of(one.witnesses)});
            if (outcome)
                this->ended.push_back(
                    {{one.upstream, *outcome, one.life}, now - one.started_at});
            return outcome.has_value();
        });
    return std::exchange(this->ended, {});
}

std::optional<time_point> connection_checker::next_due() const
{
    std::optional<time_point> due;
    for (attempt const& one : this->running)
        due = std::min(due.value_or(time_point::max()), one.trial.next_due());
    return this->ended.empty() ? due : time_point{};
}

} // namespace cairnhead
