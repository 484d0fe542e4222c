#include <soak/peer_relay.hpp>

#include <array>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

namespace cairnhead::soak
{

namespace
{

constexpr int poll_milliseconds = 5;
constexpr std::size_t largest_datagram = 65'536;

/// Much more than networks do, and less than would part VMs.
constexpr std::uint64_t lost_percent = 20;
constexpr std::uint64_t doubled_percent = 10;
constexpr std::uint64_t late_percent = 30;
constexpr std::uint64_t longest_delay_milliseconds = 200;

} // namespace

peer_relay::peer_relay(socket_address known, socket_address listening)
    : socket(known), target(to_sockaddr(listening)), random(known.port),
      thread(
          [this]
          {
              this->run();
          })
{
}

peer_relay::~peer_relay()
{
    this->is_ending = true;
    this->thread.join();
}

void peer_relay::set_condition(peer_condition now)
{
    this->condition = now;
}

void peer_relay::set_cut_senders(absl::flat_hash_set<ipv4_address> addresses)
{
    std::lock_guard const lock(this->mutex);
    this->cut_senders = std::move(addresses);
}

void peer_relay::run()
{
    while (!this->is_ending)
    {
        pollfd asked{this->socket.descriptor(), POLLIN, 0};
        ::poll(&asked, 1, poll_milliseconds);
        this->take_all();
        this->deliver_due();
    }
}

void peer_relay::take_all()
{
    std::array<std::uint8_t, largest_datagram> buffer{};
    while (true)
    {
        sockaddr_in from{};
        socklen_t size = sizeof(from);
        auto const got = ::recvfrom(
            this->socket.descriptor(), buffer.data(), buffer.size(), 0,
            reinterpret_cast<sockaddr*>(&from), &size);
        if (got < 0)
            return;
        if (this->is_cut_off(from_sockaddr(from).address))
            continue;
        auto const* const first = buffer.data();
        this->carry({first, first + got});
    }
}

bool peer_relay::is_cut_off(ipv4_address sender)
{
    if (this->condition == peer_condition::cut)
        return true;
    std::lock_guard const lock(this->mutex);
    return this->cut_senders.contains(sender);
}

bool peer_relay::happens(std::uint64_t percent)
{
    return this->condition == peer_condition::harmed &&
           this->random() % 100 < percent;
}

void peer_relay::carry(std::vector<std::uint8_t> bytes)
{
    if (this->happens(lost_percent))
        return;
    if (this->happens(doubled_percent))
        this->pass(bytes);
    if (!this->happens(late_percent))
        return this->pass(bytes);
    auto const delay =
        std::chrono::milliseconds(this->random() % longest_delay_milliseconds);
    this->held.push_back({clock::now() + delay, std::move(bytes)});
}

void peer_relay::deliver_due()
{
    std::erase_if(
        this->held,
        [this, now = clock::now()](held_datagram const& each)
        {
            bool const is_due = each.due_at <= now;
            if (is_due)
                this->pass(each.bytes);
            return is_due;
        });
}

void peer_relay::pass(std::span<std::uint8_t const> bytes) const
{
    // A VM that does not run gets nothing, as from a network.
    static_cast<void>(::sendto(
        this->socket.descriptor(), bytes.data(), bytes.size(), 0,
        reinterpret_cast<sockaddr const*>(&this->target),
        sizeof(this->target)));
}

} // namespace cairnhead::soak
