#include <soak/peer_relay.hpp>
#include <thin_path/fleet_files.hpp>
#include <thin_path/wait_until.hpp>

#include <base/ipv4.hpp>

#include <algorithm>
#include <criterion/criterion.h>
#include <set>
#include <string>
#include <sys/socket.h>

using namespace cairnhead;
using namespace cairnhead::soak;

namespace
{

constexpr int test_number = 61;
constexpr std::uint16_t port = 6081;

socket_address at(int host)
{
    thin_path::address_plan const plan(test_number);
    return {parse_ipv4(plan.host(host)).value(), port};
}

/// A VM's socket.
class talker
{
public:
    explicit talker(int host) : socket(at(host))
    {
    }

    void say(std::string const& what, int to) const
    {
        sockaddr_in const target = to_sockaddr(at(to));
        ::sendto(
            this->socket.descriptor(), what.data(), what.size(), 0,
            reinterpret_cast<sockaddr const*>(&target), sizeof(target));
    }

    /// Waits for the next datagram.
    [[nodiscard]] std::string hear() const
    {
        std::string heard(64, '\0');
        ssize_t size = -1;
        thin_path::wait_until(
            "a datagram",
            [&]
            {
                size = ::recv(
                    this->socket.descriptor(), heard.data(), heard.size(), 0);
                return size >= 0;
            });
        heard.resize(static_cast<std::size_t>(size));
        return heard;
    }

private:
    udp_socket socket;
};

} // namespace

Test(peer_relay, passes_what_is_not_cut)
{
    constexpr int known = 1;
    constexpr int behind = 2;
    talker const vm(behind);
    talker const first(3);
    talker const second(4);
    peer_relay relay(at(known), at(behind));
    first.say("heard", known);
    cr_expect(vm.hear() == "heard");

    // The second one's datagram comes later by the same socket.
    relay.set_cut_senders({at(3).address});
    first.say("not heard", known);
    second.say("of another", known);
    cr_expect(vm.hear() == "of another");

    relay.set_cut_senders({});
    first.say("again", known);
    cr_expect(vm.hear() == "again");
}

Test(peer_relay, harms_some_datagrams_of_many)
{
    constexpr int known = 5;
    constexpr int behind = 6;
    talker const vm(behind);
    talker const peer(7);
    peer_relay relay(at(known), at(behind));
    relay.set_condition(peer_condition::harmed);
    constexpr int sent = 200;
    for (int number = 0; number < sent; ++number)
        peer.say(std::to_string(number), known);
    std::set<std::string> heard;
    int copies = 0;
    bool is_out_of_order = false;
    int highest = -1;
    while (highest < sent * 9 / 10 || !is_out_of_order)
    {
        std::string const next = vm.hear();
        copies += heard.insert(next).second ? 0 : 1;
        is_out_of_order |= std::stoi(next) < highest;
        highest = std::max(highest, std::stoi(next));
    }
    cr_expect_gt(copies, 0);
    cr_expect_lt(heard.size(), sent * 95 / 100);
}
