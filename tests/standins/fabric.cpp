#include "commands.hpp"
#include "http_server.hpp"
#include "text.hpp"

#include <absl/flags/flag.h>

#include <map>
#include <mutex>
#include <optional>
#include <random>

ABSL_FLAG(std::string, callers, "", "comma list of prefix/size@address:port");
ABSL_FLAG(std::uint16_t, vm_port, 6'080, "port of the entry VMs");
ABSL_FLAG(std::uint32_t, lose, 0, "datagrams lost, permille");
ABSL_FLAG(std::uint32_t, duplicate, 0, "datagrams sent twice, permille");
ABSL_FLAG(std::uint32_t, reorder, 0, "datagrams held back, permille");

namespace cairnhead::standins
{
namespace
{

constexpr std::size_t control_threads = 4;
constexpr std::size_t largest_batch = 256;
constexpr std::uint32_t permille = 1'000;
constexpr std::uint32_t address_bits = 32;
/// A datagram that is held back this long falls behind later ones.
constexpr std::chrono::milliseconds reorder_delay{3};
constexpr std::chrono::seconds longest_wait{1};

struct caller_route
{
    std::uint32_t prefix = 0;
    std::uint32_t size = 0;
    socket_address callers;

    [[nodiscard]] bool matches(std::uint32_t address) const
    {
        return this->size == 0 ||
               (address ^ this->prefix) >> (address_bits - this->size) == 0;
    }
};

caller_route parse_route(std::string_view text)
{
    auto const slash = text.find('/');
    auto const at = text.find('@');
    auto const size = slash == text.npos || at == text.npos || at < slash
                          ? std::nullopt
                          : parse_number<std::uint32_t>(
                                text.substr(slash + 1, at - slash - 1));
    if (!size || *size > address_bits)
    {
        throw address_error{concatenate("no prefix/size@address: ", text)};
    }
    return {
        .prefix = parse_address(text.substr(0, slash)),
        .size = *size,
        .callers = parse_socket_address(text.substr(at + 1))};
}

struct fabric_fault
{
    std::uint32_t lose = 0;
    std::uint32_t duplicate = 0;
    std::uint32_t reorder = 0;
};

struct fabric_counters
{
    std::uint64_t sprayed = 0;
    std::uint64_t delivered = 0;
    std::uint64_t lost = 0;
    std::uint64_t duplicated = 0;
    std::uint64_t reordered = 0;
    std::uint64_t malformed = 0;
    std::uint64_t without_vm = 0;
    std::uint64_t without_caller = 0;
};

/// Thread safety: the control handlers and `take` exclude each other.
class fabric
{
public:
    fabric()
        : socket(parse_socket_address(absl::GetFlag(FLAGS_listen))),
          random(absl::GetFlag(FLAGS_seed))
    {
        this->set_vms(absl::GetFlag(FLAGS_vms));
        for (auto const& text : split_list(absl::GetFlag(FLAGS_callers)))
        {
            this->routes.push_back(parse_route(text));
        }
        this->fault = {
            .lose = absl::GetFlag(FLAGS_lose),
            .duplicate = absl::GetFlag(FLAGS_duplicate),
            .reorder = absl::GetFlag(FLAGS_reorder)};
    }

    void run(termination_signal const& termination)
    {
        while (termination.wait(this->socket.descriptor(), this->wake_time()))
        {
            std::scoped_lock lock{this->guard};
            this->release_held();
            this->take_batch();
        }
    }

    void put_vms(httplib::Request const& request)
    {
        std::scoped_lock lock{this->guard};
        this->set_vms(request.body);
    }

    void put_pin(httplib::Request const& request)
    {
        auto const body = nlohmann::json::parse(request.body);
        auto const vm = body.value("vm", "");
        std::scoped_lock lock{this->guard};
        this->pinned.reset();
        if (!vm.empty())
        {
            this->pinned = parse_address(vm);
        }
    }

    void put_fault(httplib::Request const& request)
    {
        auto const body = nlohmann::json::parse(request.body);
        std::scoped_lock lock{this->guard};
        this->fault = {
            .lose = body.value("lose", 0U),
            .duplicate = body.value("duplicate", 0U),
            .reorder = body.value("reorder", 0U)};
    }

    void count(httplib::Response& response)
    {
        std::scoped_lock lock{this->guard};
        auto const& now = this->counters;
        answer_json(
            response, {{"sprayed", now.sprayed},
                       {"delivered", now.delivered},
                       {"lost", now.lost},
                       {"duplicated", now.duplicated},
                       {"reordered", now.reordered},
                       {"malformed", now.malformed},
                       {"without_vm", now.without_vm},
                       {"without_caller", now.without_caller}});
    }

private:
    struct held_datagram
    {
        socket_address destination;
        std::vector<std::uint8_t> bytes;
    };

    void set_vms(std::string_view list)
    {
        std::vector<std::uint32_t> parsed;
        for (auto const& text : split_list(list))
        {
            parsed.push_back(parse_address(text));
        }
        this->vms = std::move(parsed);
    }

    bool happens(std::uint32_t rate)
    {
        return rate > 0 && this->random() % permille < rate;
    }

    time_point wake_time()
    {
        std::scoped_lock lock{this->guard};
        return this->held.empty() ? clock::now() + longest_wait
                                  : this->held.begin()->first;
    }

    void release_held()
    {
        auto const due = this->held.upper_bound(clock::now());
        for (auto each = this->held.begin(); each != due; ++each)
        {
            this->socket.send(each->second.destination, each->second.bytes);
        }
        this->held.erase(this->held.begin(), due);
    }

    [[nodiscard]] bool from_callers(socket_address source) const
    {
        return std::ranges::any_of(
            this->routes,
            [&](auto const& route)
            {
                return route.callers == source;
            });
    }

    /// Bounded, so that a flood cannot keep the process from ending.
    void take_batch()
    {
        for (std::size_t taken = 0; taken < largest_batch; ++taken)
        {
            auto const received = this->socket.receive();
            if (!received)
            {
                return;
            }
            this->take(*received);
        }
    }

    void take(datagram const& received)
    {
        auto const packet = read_gue(received.bytes);
        if (!packet)
        {
            this->counters.malformed += 1;
            return;
        }
        if (this->happens(this->fault.lose))
        {
            this->counters.lost += 1;
            return;
        }
        this->forward(received, *packet);
        if (this->happens(this->fault.duplicate))
        {
            this->counters.duplicated += 1;
            this->forward(received, *packet);
        }
    }

    void forward(datagram const& received, std::span<std::uint8_t const> packet)
    {
        auto const destination = this->from_callers(received.source)
                                     ? this->choose_vm()
                                     : this->find_callers(packet);
        if (!destination)
        {
            return;
        }
        if (this->happens(this->fault.reorder))
        {
            this->counters.reordered += 1;
            this->held.emplace(
                clock::now() + reorder_delay,
                held_datagram{
                    .destination = *destination,
                    .bytes = {received.bytes.begin(), received.bytes.end()}});
            return;
        }
        this->socket.send(*destination, received.bytes);
    }

    std::optional<socket_address> choose_vm()
    {
        if (!this->pinned && this->vms.empty())
        {
            this->counters.without_vm += 1;
            return std::nullopt;
        }
        this->counters.sprayed += 1;
        auto const vm = this->pinned
                            ? *this->pinned
                            : this->vms[this->random() % this->vms.size()];
        return socket_address{.address = vm, .port = this->vm_port};
    }

    std::optional<socket_address>
    find_callers(std::span<std::uint8_t const> packet)
    {
        auto const address = inner_destination(packet);
        caller_route const* longest = nullptr;
        for (auto const& route : this->routes)
        {
            if (!route.matches(address) ||
                (longest != nullptr && longest->size >= route.size))
            {
                continue;
            }
            longest = &route;
        }
        if (longest == nullptr)
        {
            this->counters.without_caller += 1;
            return std::nullopt;
        }
        this->counters.delivered += 1;
        return longest->callers;
    }

    std::mutex guard;
    udp_socket socket;
    std::mt19937_64 random;
    std::uint16_t vm_port = absl::GetFlag(FLAGS_vm_port);
    std::vector<std::uint32_t> vms;
    std::optional<std::uint32_t> pinned;
    std::vector<caller_route> routes;
    fabric_fault fault;
    std::multimap<time_point, held_datagram> held;
    fabric_counters counters;
};

} // namespace

void run_fabric(termination_signal const& termination)
{
    fabric sprayer;
    http_server server{control_threads};
    server.put(
        "/vms",
        [&](auto const& request, auto&)
        {
            sprayer.put_vms(request);
        });
    server.put(
        "/pin",
        [&](auto const& request, auto&)
        {
            sprayer.put_pin(request);
        });
    server.put(
        "/fault",
        [&](auto const& request, auto&)
        {
            sprayer.put_fault(request);
        });
    server.get(
        "/counters",
        [&](auto const&, auto& response)
        {
            sprayer.count(response);
        });
    server.start(parse_socket_address(absl::GetFlag(FLAGS_control)));
    print_ready();
    sprayer.run(termination);
    end_process(EXIT_SUCCESS);
}

} // namespace cairnhead::standins
