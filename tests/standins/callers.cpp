#include "commands.hpp"
#include "line_connection.hpp"
#include "text.hpp"

#include <absl/flags/flag.h>

#include <algorithm>
#include <cstdio>
#include <iomanip>
#include <iostream>
#include <map>
#include <random>

ABSL_FLAG(std::uint64_t, flows, 200, "flows in all");
ABSL_FLAG(std::uint64_t, concurrency, 100, "flows at a time");
ABSL_FLAG(std::uint64_t, requests, 10, "requests of a flow");
ABSL_FLAG(std::uint64_t, request_gap_ms, 50, "from an answer to a request");
ABSL_FLAG(std::uint64_t, opens_per_second, 2'000, "rate of openings");
ABSL_FLAG(std::string, source, "10.0.0.1", "the callers' own address");
ABSL_FLAG(std::string, kind, "echo", "echo, submit or feed");
ABSL_FLAG(std::uint64_t, timeout_ms, 30'000, "for each step of a flow");
ABSL_FLAG(bool, progress, false, "prints a line each second");

namespace cairnhead::standins
{
namespace
{

/// Fires openings and the progress line; flows have keys from 1 on.
constexpr std::uint64_t pace_key = 0;
constexpr std::uint64_t progress_key = UINT64_MAX;
constexpr std::chrono::seconds progress_interval{1};
constexpr std::string_view refusal_text = "HTTP/1.1 503";

/// Each request is answered with the upstream's name and its identifier.
struct echo_requests
{
    [[nodiscard]] std::string request(std::string_view identifier) const
    {
        return concatenate("ECHO ", identifier);
    }

    [[nodiscard]] std::string
    answer(std::string_view identifier, std::uint64_t /*number*/) const
    {
        return std::string{identifier};
    }

    bool one_request = false;
};

/// A request that must run at most once.
struct submit_requests
{
    [[nodiscard]] std::string request(std::string_view identifier) const
    {
        return concatenate("SUBMIT ", identifier);
    }

    [[nodiscard]] std::string
    answer(std::string_view identifier, std::uint64_t /*number*/) const
    {
        return concatenate("ran ", identifier);
    }

    bool one_request = false;
};

/// One request with many answers.
struct feed_request
{
    [[nodiscard]] std::string request(std::string_view /*identifier*/) const
    {
        return concatenate("FEED ", absl::GetFlag(FLAGS_requests));
    }

    [[nodiscard]] std::string
    answer(std::string_view /*identifier*/, std::uint64_t number) const
    {
        return concatenate(number);
    }

    bool one_request = true;
};

using workload = std::variant<echo_requests, submit_requests, feed_request>;

struct unknown_kind : std::invalid_argument
{
    using std::invalid_argument::invalid_argument;
};

workload parse_kind(std::string const& text)
{
    if (text == "echo")
    {
        return echo_requests{};
    }
    if (text == "submit")
    {
        return submit_requests{};
    }
    if (text == "feed")
    {
        return feed_request{};
    }
    throw unknown_kind{text};
}

/// How a flow ended.
enum class outcome : std::uint8_t
{
    completed,
    /// Established, and then reset, timed out or answered wrongly.
    broken,
    /// Reset before it was established, or told 503.
    refused,
    /// Neither established nor refused in time.
    unanswered,
};

struct flow
{
    std::shared_ptr<line_connection> connection =
        std::make_shared<line_connection>();
    bool established = false;
    std::uint64_t asked = 0;
    std::uint64_t answered = 0;
    bool closing = false;
    std::string upstream;
    /// The next step has to have happened by then.
    time_point step_deadline;
    /// When the next request is sent; none while an answer is awaited.
    std::optional<time_point> ask_at;
};

/// Thread safety: one thread.
class callers
{
public:
    callers()
        : stack(
              parse_socket_address(absl::GetFlag(FLAGS_address)),
              parse_socket_address(absl::GetFlag(FLAGS_fabric)),
              this->seed),
          next_port(static_cast<std::uint16_t>(std::mt19937_64{this->seed}()))
    {
        this->stack.add_address(parse_address(absl::GetFlag(FLAGS_source)));
    }

    int run(termination_signal const& termination)
    {
        this->stack.set_timer(clock::now(), pace_key);
        if (absl::GetFlag(FLAGS_progress))
        {
            this->stack.set_timer(clock::now(), progress_key);
        }
        this->stack.run(
            termination, {.admit =
                              [](auto /*packet*/)
                          {
                              return true;
                          },
                          .fire =
                              [this](auto key)
                          {
                              this->fire(key);
                          },
                          .finished =
                              [this]
                          {
                              return this->ended() == this->total;
                          }});
        this->print_summary();
        auto const whole = this->ended() == this->total &&
                           this->outcomes[outcome::broken] == 0 &&
                           this->outcomes[outcome::unanswered] == 0;
        return whole ? EXIT_SUCCESS : EXIT_FAILURE;
    }

private:
    [[nodiscard]] std::uint64_t ended() const
    {
        return this->opened - this->flows.size();
    }

    void fire(std::uint64_t key)
    {
        if (key == pace_key)
        {
            this->open_next();
            return;
        }
        if (key == progress_key)
        {
            this->print_progress();
            return;
        }
        this->advance(key);
    }

    void open_next()
    {
        if (this->opened == this->total)
        {
            return;
        }
        if (this->flows.size() < this->concurrency)
        {
            this->open_flow();
        }
        this->open_at = std::max(
            this->open_at + this->open_interval,
            clock::now() - this->longest_catch_up);
        this->stack.set_timer(this->open_at, pace_key);
    }

    void open_flow()
    {
        auto const key = ++this->opened;
        auto& current = this->flows[key];
        this->expect_step(key, current);
        auto const used = current.connection->open(
            this->next_port, this->service,
            [this, key](connection_event const& event)
            {
                std::visit(
                    [this, key](auto const& each)
                    {
                        this->on(key, each);
                    },
                    event);
            });
        this->next_port = static_cast<std::uint16_t>(used + 1);
    }

    void expect_step(std::uint64_t key, flow& current)
    {
        current.step_deadline = clock::now() + this->timeout;
        this->stack.set_timer(current.step_deadline, key);
    }

    /// A timer of a flow is due, or one that a later step has made void.
    void advance(std::uint64_t key)
    {
        auto const found = this->flows.find(key);
        if (found == this->flows.end())
        {
            return;
        }
        auto& current = found->second;
        auto const now = clock::now();
        if (current.ask_at && *current.ask_at <= now)
        {
            this->ask(key, current);
        }
        if (current.step_deadline <= now)
        {
            current.connection->abort();
            this->end_early(key, "timeout");
        }
    }

    void ask(std::uint64_t key, flow& current)
    {
        current.ask_at.reset();
        current.asked += 1;
        this->expect_step(key, current);
        current.connection->send(std::visit(
            [&](auto const& each)
            {
                return each.request(this->identifier(key, current));
            },
            this->kind));
    }

    [[nodiscard]] std::string
    identifier(std::uint64_t key, flow const& current) const
    {
        return concatenate(this->seed, "-", key, "-", current.asked);
    }

    void on(std::uint64_t key, connected /*event*/)
    {
        auto& current = this->flows.at(key);
        current.established = true;
        this->ask(key, current);
    }

    void on(std::uint64_t key, line_received const& line)
    {
        auto& current = this->flows.at(key);
        if (current.answered == 0 && line.text.starts_with(refusal_text))
        {
            current.connection->close();
            this->end(key, outcome::refused, "503");
            return;
        }
        if (!this->is_right(key, current, line.text))
        {
            current.connection->abort();
            this->end(key, outcome::broken, concatenate("wrong: ", line.text));
            return;
        }
        current.answered += 1;
        this->answers += 1;
        this->continue_flow(key, current);
    }

    bool is_right(std::uint64_t key, flow& current, std::string_view line)
    {
        auto const space = std::min(line.find(' '), line.size());
        auto const name = line.substr(0, space);
        if (current.upstream.empty())
        {
            current.upstream = name;
            this->upstreams[current.upstream] += 1;
        }
        auto const expected = std::visit(
            [&](auto const& each)
            {
                return each.answer(
                    this->identifier(key, current), current.answered + 1);
            },
            this->kind);
        return !current.closing && current.upstream == name &&
               line == concatenate(name, " ", expected);
    }

    void continue_flow(std::uint64_t key, flow& current)
    {
        this->expect_step(key, current);
        if (current.answered == this->requests)
        {
            current.closing = true;
            current.connection->finish_sending();
            return;
        }
        auto const one_request = std::visit(
            [](auto const& each)
            {
                return each.one_request;
            },
            this->kind);
        if (!one_request)
        {
            current.ask_at = clock::now() + this->request_gap;
            this->stack.set_timer(*current.ask_at, key);
        }
    }

    void on(std::uint64_t key, peer_finished /*event*/)
    {
        auto& current = this->flows.at(key);
        if (!current.closing)
        {
            current.connection->abort();
            this->end(key, outcome::broken, "closed by upstream");
            return;
        }
        current.connection->close();
        this->end(key, outcome::completed, "");
    }

    void on(std::uint64_t key, connection_lost const& lost)
    {
        auto const established = this->flows.at(key).established;
        if (!established && lost.reset)
        {
            this->end(key, outcome::refused, "reset");
            return;
        }
        this->end_early(key, lost.reset ? "reset" : "retransmissions");
    }

    void end_early(std::uint64_t key, std::string_view reason)
    {
        auto const established = this->flows.at(key).established;
        this->end(
            key, established ? outcome::broken : outcome::unanswered, reason);
    }

    void end(std::uint64_t key, outcome result, std::string_view reason)
    {
        auto const& current = this->flows.at(key);
        if (result != outcome::completed)
        {
            std::cout << "flow=" << key << " outcome=" << to_text(result)
                      << " reason=\"" << reason
                      << "\" upstream=" << current.upstream
                      << " asked=" << current.asked
                      << " answered=" << current.answered << '\n';
        }
        this->outcomes[result] += 1;
        this->flows.erase(key);
    }

    static std::string_view to_text(outcome result)
    {
        switch (result)
        {
        case outcome::completed:
            return "completed";
        case outcome::broken:
            return "broken";
        case outcome::refused:
            return "refused";
        case outcome::unanswered:
            return "unanswered";
        }
        return "";
    }

    [[nodiscard]] double imbalance() const
    {
        std::uint64_t most = 0;
        std::uint64_t sum = 0;
        for (auto const& [name, count] : this->upstreams)
        {
            most = std::max(most, count);
            sum += count;
        }
        return sum == 0 ? 0
                        : static_cast<double>(most * this->upstreams.size()) /
                              static_cast<double>(sum);
    }

    void print_progress()
    {
        std::cout << "opened=" << this->opened
                  << " open=" << this->flows.size();
        this->print_counts();
        std::cout << std::endl;
        this->stack.set_timer(clock::now() + progress_interval, progress_key);
    }

    void print_counts()
    {
        std::cout << " completed=" << this->outcomes[outcome::completed]
                  << " broken=" << this->outcomes[outcome::broken]
                  << " refused=" << this->outcomes[outcome::refused]
                  << " imbalance=" << std::fixed << std::setprecision(3)
                  << this->imbalance()
                  << " upstreams=" << this->upstreams.size()
                  << " requests=" << this->answers
                  << " unanswered=" << this->outcomes[outcome::unanswered];
    }

    void print_summary()
    {
        std::cout << "flows=" << this->opened;
        this->print_counts();
        std::cout << " unfinished=" << this->flows.size() << std::endl;
    }

    std::uint64_t seed = absl::GetFlag(FLAGS_seed);
    std::uint64_t total = absl::GetFlag(FLAGS_flows);
    std::uint64_t concurrency = absl::GetFlag(FLAGS_concurrency);
    std::uint64_t requests = absl::GetFlag(FLAGS_requests);
    std::chrono::milliseconds request_gap{absl::GetFlag(FLAGS_request_gap_ms)};
    std::chrono::milliseconds timeout{absl::GetFlag(FLAGS_timeout_ms)};
    std::chrono::nanoseconds open_interval =
        std::chrono::nanoseconds{std::chrono::seconds{1}} /
        absl::GetFlag(FLAGS_opens_per_second);
    /// A pause of the process must not end in a burst of openings.
    std::chrono::milliseconds longest_catch_up{10};
    socket_address service = parse_socket_address(absl::GetFlag(FLAGS_service));
    workload kind = parse_kind(absl::GetFlag(FLAGS_kind));
    lwip_stack stack;
    std::uint16_t next_port;
    time_point open_at = clock::now();
    std::uint64_t opened = 0;
    std::uint64_t answers = 0;
    std::map<std::uint64_t, flow> flows;
    std::map<outcome, std::uint64_t> outcomes;
    std::map<std::string, std::uint64_t> upstreams;
};

} // namespace

void run_callers(termination_signal const& termination)
{
    callers opened;
    print_ready();
    end_process(opened.run(termination));
}

} // namespace cairnhead::standins
