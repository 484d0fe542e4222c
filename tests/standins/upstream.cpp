#include "commands.hpp"
#include "http_server.hpp"
#include "line_connection.hpp"
#include "text.hpp"

#include <absl/flags/flag.h>

#include <deque>
#include <map>
#include <mutex>
#include <set>

#include <lwip/udp.h>

ABSL_FLAG(std::string, udp_service, "", "the UDP service's address:port");
ABSL_FLAG(std::string, health, "", "HTTP address:port for health and tests");
ABSL_FLAG(std::string, name, "", "begins every answer");
ABSL_FLAG(std::uint64_t, connections, 2'000, "connections at full load");

namespace cairnhead::standins
{
namespace
{

constexpr std::size_t health_threads = 16;
constexpr std::chrono::milliseconds feed_interval{20};
/// What a cold upstream adds to each answer.
constexpr std::chrono::milliseconds cold_delay{200};
constexpr std::uint64_t permille = 1'000;
constexpr std::uint8_t listen_backlog = 255;

constexpr std::size_t protocol_offset = 9;
constexpr std::size_t tcp_flags_offset = 13;
constexpr std::uint8_t tcp_syn = 0x02;
constexpr std::uint8_t tcp_ack = 0x10;

struct upstream_control
{
    std::string condition = "healthy";
    /// What the upstream claims instead of its true load.
    std::optional<std::uint64_t> claimed_load;
    bool drop_syn = false;
    std::chrono::milliseconds answer_delay{0};
    time_point cold_until{};
};

struct upstream_counters
{
    std::uint64_t connections = 0;
    std::uint64_t open = 0;
    std::uint64_t requests = 0;
    std::uint64_t datagrams = 0;
    std::uint64_t dropped_openings = 0;
    std::uint64_t lost_connections = 0;
};

/// One line to be sent when its deadline has passed.
struct pending_answer
{
    time_point deadline;
    std::string text;
};

/// Lines `next` to `last`, one at each interval.
struct pending_feed
{
    time_point deadline;
    std::uint64_t next = 1;
    std::uint64_t last = 0;
};

using pending = std::variant<pending_answer, pending_feed>;

struct session
{
    std::shared_ptr<line_connection> connection =
        std::make_shared<line_connection>();
    /// In the order of the caller's lines; so are the answers.
    std::deque<pending> answers;
    bool caller_finished = false;
};

bool is_opening(std::span<std::uint8_t const> packet)
{
    auto const header = static_cast<std::size_t>(packet[0] & 0x0f) * 4;
    if (packet[protocol_offset] != IP_PROTO_TCP ||
        packet.size() <= header + tcp_flags_offset)
    {
        return false;
    }
    auto const flags = packet[header + tcp_flags_offset];
    return (flags & tcp_syn) != 0 && (flags & tcp_ack) == 0;
}

/// Thread safety: HTTP handlers and the stack's thread share it under its
/// guard.
class upstream_state
{
public:
    void put_control(httplib::Request const& request)
    {
        auto const body = nlohmann::json::parse(request.body);
        std::scoped_lock lock{this->guard};
        auto& now = this->control;
        now.condition = body.value("condition", now.condition);
        now.drop_syn = body.value("drop_syn", now.drop_syn);
        now.answer_delay = std::chrono::milliseconds{
            body.value("delay_ms", now.answer_delay.count())};
        if (body.contains("load_permille"))
        {
            now.claimed_load.reset();
        }
        if (body.contains("load_permille") && !body["load_permille"].is_null())
        {
            now.claimed_load = body["load_permille"].get<std::uint64_t>();
        }
        if (body.contains("cold_ms"))
        {
            now.cold_until = clock::now() + std::chrono::milliseconds{
                                                body["cold_ms"].get<int>()};
        }
    }

    void describe_health(httplib::Response& response)
    {
        std::scoped_lock lock{this->guard};
        auto const load =
            this->counters.open * permille / absl::GetFlag(FLAGS_connections);
        answer_json(
            response,
            {{"condition", this->control.condition},
             {"load_permille", this->control.claimed_load.value_or(load)}});
    }

    void count(httplib::Response& response)
    {
        std::scoped_lock lock{this->guard};
        std::uint64_t most = 0;
        std::uint64_t doubled = 0;
        for (auto const& [identifier, times] : this->runs)
        {
            most = std::max(most, times);
            doubled += times > 1 ? 1 : 0;
        }
        answer_json(
            response, {{"connections", this->counters.connections},
                       {"open", this->counters.open},
                       {"requests", this->counters.requests},
                       {"datagrams", this->counters.datagrams},
                       {"dropped_openings", this->counters.dropped_openings},
                       {"lost_connections", this->counters.lost_connections},
                       {"submitted", this->runs.size()},
                       {"runs_by_id_max", most},
                       {"doubled", doubled}});
    }

    void list_runs(httplib::Response& response)
    {
        std::scoped_lock lock{this->guard};
        answer_json(response, this->runs);
    }

    /// Changes the counters through `change`.
    template <typename Change>
    void count(Change const& change)
    {
        std::scoped_lock lock{this->guard};
        change(this->counters);
    }

    void run(std::string const& identifier)
    {
        std::scoped_lock lock{this->guard};
        this->runs[identifier] += 1;
    }

    [[nodiscard]] time_point answer_time()
    {
        std::scoped_lock lock{this->guard};
        auto const now = clock::now();
        auto const answer = now + this->control.answer_delay;
        return now < this->control.cold_until ? answer + cold_delay : answer;
    }

    [[nodiscard]] bool drops_openings()
    {
        std::scoped_lock lock{this->guard};
        return this->control.drop_syn;
    }

private:
    std::mutex guard;
    upstream_control control;
    upstream_counters counters;
    std::map<std::string, std::uint64_t> runs;
};

/// Thread safety: the stack's thread only.
class upstream
{
public:
    explicit upstream(upstream_state& shared)
        : state(shared),
          stack(
              parse_socket_address(absl::GetFlag(FLAGS_address)),
              parse_socket_address(absl::GetFlag(FLAGS_fabric)),
              // Stacks differ in their sequence numbers, as hosts do.
              std::hash<std::string>{}(absl::GetFlag(FLAGS_address)) +
                  absl::GetFlag(FLAGS_seed))
    {
        for (auto const& text : split_list(absl::GetFlag(FLAGS_service)))
        {
            this->listen_tcp(parse_socket_address(text));
        }
        for (auto const& text : split_list(absl::GetFlag(FLAGS_udp_service)))
        {
            this->listen_udp(parse_socket_address(text));
        }
    }

    void run(termination_signal const& termination)
    {
        this->stack.run(
            termination, {.admit =
                              [this](auto packet)
                          {
                              return this->admit(packet);
                          },
                          .fire =
                              [this](auto key)
                          {
                              this->answer(key);
                          },
                          .finished =
                              []
                          {
                              return false;
                          }});
    }

private:
    void add_address(std::uint32_t address)
    {
        if (this->addresses.insert(address).second)
        {
            this->stack.add_address(address);
        }
    }

    void listen_tcp(socket_address service)
    {
        this->add_address(service.address);
        auto const address = to_lwip(service.address);
        auto* const bound = tcp_new();
        tcp_bind(bound, &address, service.port);
        auto* const listener = tcp_listen_with_backlog(bound, listen_backlog);
        tcp_arg(listener, this);
        tcp_accept(listener, on_accepted);
    }

    void listen_udp(socket_address service)
    {
        this->add_address(service.address);
        auto const address = to_lwip(service.address);
        auto* const bound = udp_new();
        udp_bind(bound, &address, service.port);
        udp_recv(bound, on_datagram, this);
    }

    bool admit(std::span<std::uint8_t const> packet)
    {
        if (!is_opening(packet) || !this->state.drops_openings())
        {
            return true;
        }
        this->state.count(
            [](auto& now)
            {
                now.dropped_openings += 1;
            });
        return false;
    }

    static err_t on_accepted(void* self, tcp_pcb* pcb, err_t error)
    {
        if (pcb == nullptr || error != ERR_OK)
        {
            return ERR_VAL;
        }
        static_cast<upstream*>(self)->open_session(pcb);
        return ERR_OK;
    }

    void open_session(tcp_pcb* pcb)
    {
        auto const key = this->next_key++;
        auto& opened = this->sessions[key];
        this->state.count(
            [](auto& now)
            {
                now.connections += 1;
                now.open += 1;
            });
        opened.connection->adopt(
            pcb,
            [this, key](connection_event const& event)
            {
                std::visit(
                    [this, key](auto const& each)
                    {
                        this->on(key, each);
                    },
                    event);
            });
    }

    void on(std::uint64_t /*key*/, connected /*event*/)
    {
    }

    void on(std::uint64_t key, line_received const& line)
    {
        this->state.count(
            [](auto& now)
            {
                now.requests += 1;
            });
        this->enqueue(key, this->make_answer(line.text));
    }

    void on(std::uint64_t key, peer_finished /*event*/)
    {
        this->sessions.at(key).caller_finished = true;
        this->answer(key);
    }

    void on(std::uint64_t key, connection_lost /*event*/)
    {
        this->state.count(
            [](auto& now)
            {
                now.lost_connections += 1;
            });
        this->end_session(key);
    }

    pending make_answer(std::string_view line)
    {
        auto const deadline = this->state.answer_time();
        auto const space = std::min(line.find(' '), line.size());
        auto const verb = line.substr(0, space);
        auto const argument = line.substr(std::min(space + 1, line.size()));
        if (verb == "SUBMIT")
        {
            this->state.run(std::string{argument});
            return pending_answer{
                deadline, concatenate(this->name, " ran ", argument)};
        }
        if (verb == "FEED")
        {
            auto const count = parse_number<std::uint64_t>(argument);
            return pending_feed{
                .deadline = deadline, .last = count.value_or(1)};
        }
        return pending_answer{deadline, concatenate(this->name, " ", argument)};
    }

    void enqueue(std::uint64_t key, pending answer)
    {
        auto const deadline = deadline_of(answer);
        this->sessions.at(key).answers.push_back(std::move(answer));
        this->stack.set_timer(deadline, key);
    }

    static time_point deadline_of(pending const& answer)
    {
        return std::visit(
            [](auto const& each)
            {
                return each.deadline;
            },
            answer);
    }

    /// Sends what is due of a session and ends it after its last answer.
    void answer(std::uint64_t key)
    {
        auto const found = this->sessions.find(key);
        if (found == this->sessions.end())
        {
            return;
        }
        auto& current = found->second;
        while (!current.answers.empty() &&
               deadline_of(current.answers.front()) <= clock::now())
        {
            auto const done = std::visit(
                [&](auto& each)
                {
                    return this->send(current, each);
                },
                current.answers.front());
            if (done)
            {
                current.answers.pop_front();
            }
        }
        this->continue_session(key, current);
    }

    void continue_session(std::uint64_t key, session& current)
    {
        if (!current.answers.empty())
        {
            this->stack.set_timer(deadline_of(current.answers.front()), key);
            return;
        }
        if (!current.caller_finished)
        {
            return;
        }
        if (!current.connection->finish_sending())
        {
            this->stack.set_timer(clock::now() + feed_interval, key);
            return;
        }
        this->end_session(key);
    }

    bool send(session& current, pending_answer const& answer)
    {
        current.connection->send(answer.text);
        return true;
    }

    bool send(session& current, pending_feed& feed)
    {
        current.connection->send(concatenate(this->name, " ", feed.next));
        feed.next += 1;
        feed.deadline += feed_interval;
        return feed.next > feed.last;
    }

    void end_session(std::uint64_t key)
    {
        this->state.count(
            [](auto& now)
            {
                now.open -= 1;
            });
        this->sessions.erase(key);
    }

    static void on_datagram(
        void* self,
        udp_pcb* pcb,
        pbuf* payload,
        ip_addr_t const* source,
        std::uint16_t port)
    {
        auto& own = *static_cast<upstream*>(self);
        own.state.count(
            [](auto& now)
            {
                now.datagrams += 1;
            });
        std::string text(payload->tot_len, '\0');
        pbuf_copy_partial(payload, text.data(), payload->tot_len, 0);
        pbuf_free(payload);
        own.send_datagram(pcb, source, port, text);
    }

    void send_datagram(
        udp_pcb* pcb,
        ip_addr_t const* destination,
        std::uint16_t port,
        std::string_view payload)
    {
        auto const text = concatenate(this->name, " ", payload);
        auto const size = static_cast<std::uint16_t>(text.size());
        auto* const answer = pbuf_alloc(PBUF_TRANSPORT, size, PBUF_RAM);
        if (answer == nullptr)
        {
            return;
        }
        pbuf_take(answer, text.data(), size);
        udp_sendto_if_src(
            pcb, answer, destination, port, netif_default, &pcb->local_ip);
        pbuf_free(answer);
    }

    upstream_state& state;
    lwip_stack stack;
    std::string name = absl::GetFlag(FLAGS_name);
    std::set<std::uint32_t> addresses;
    std::map<std::uint64_t, session> sessions;
    std::uint64_t next_key = 1;
};

} // namespace

void run_upstream(termination_signal const& termination)
{
    upstream_state state;
    upstream served{state};
    http_server server{health_threads};
    server.get(
        "/health",
        [&](auto const&, auto& response)
        {
            state.describe_health(response);
        });
    server.put(
        "/control",
        [&](auto const& request, auto&)
        {
            state.put_control(request);
        });
    server.get(
        "/counters",
        [&](auto const&, auto& response)
        {
            state.count(response);
        });
    server.get(
        "/runs",
        [&](auto const&, auto& response)
        {
            state.list_runs(response);
        });
    server.start(parse_socket_address(absl::GetFlag(FLAGS_health)));
    print_ready();
    served.run(termination);
    end_process(EXIT_SUCCESS);
}

} // namespace cairnhead::standins
