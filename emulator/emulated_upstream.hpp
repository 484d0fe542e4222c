#pragma once

#include <emulator/agenda.hpp>
#include <emulator/flow_packet.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace cairnhead::emulator
{

/// Whether an upstream answers.
enum class upstream_life : std::uint8_t
{
    serving,
    /// Its process is gone, and its machine resets what comes.
    refusing,
    /// Its machine is gone.
    silent,
};

/// How an upstream works.
struct upstream_shape
{
    duration service_time = std::chrono::milliseconds(20);
    /// Requests that wait for a slot; further ones are answered by a refusal
    /// and are not run. Nothing: there is no bound.
    std::optional<std::uint32_t> queue_bound{};
    /// Whether an answer is sent again until it is acknowledged. Without losses
    /// it need not be, and a last packet may stay unacknowledged for long.
    bool repeats_answers = true;
};

/// What an upstream does to others.
struct upstream_effects
{
    std::function<void(upstream_packet const&)> send;
    /// It begins to work on a request.
    std::function<void(flow_number flow, std::uint32_t request)> run;
};

/// One upstream: it accepts connections and works on as many requests at once
/// as it has slots; others wait.
/// Thread safety of all methods: none.
class emulated_upstream
{
public:
    /// Precondition: the schedule outlives the object.
    emulated_upstream(
        registered_upstream const& chosen,
        upstream_shape const& behavior,
        agenda& schedule,
        upstream_effects effects);

    /// A caller's packet reaches its machine. No precondition.
    void receive(caller_packet const& packet);

    void set_life(upstream_life now);

    /// It takes that many times as long. No precondition.
    void set_slowness(std::uint32_t factor);

    /// It answers each request with an error, at once. No precondition.
    void set_failing(bool is_so);

    /// A request is on its way to it, for `predict_end`. No precondition.
    void expect(duration length);

    /// When a request would be answered that reached it next, if nothing
    /// changes its speed; nothing when its queue would be full. No
    /// precondition.
    [[nodiscard]] std::optional<time_point> predict_end(duration length) const;

    /// It stands still until then: what reaches it waits, and connections to it
    /// are not answered. No precondition.
    void stall(time_point until);

    /// It takes no new flows, as it was told to. No precondition.
    void drain(time_point now);

    [[nodiscard]] registered_upstream const& registered() const;
    [[nodiscard]] upstream_life life() const;
    [[nodiscard]] bool is_stalled() const;
    [[nodiscard]] std::optional<time_point> draining_since() const;
    [[nodiscard]] std::uint32_t slowness() const;
    [[nodiscard]] bool is_failing() const;
    /// Flows that their callers confirmed. No precondition.
    [[nodiscard]] std::size_t flow_count() const;
    [[nodiscard]] bool has_confirmed(flow_number flow) const;
    [[nodiscard]] std::uint64_t runs() const;

private:
    struct connection
    {
        bool is_confirmed = false;
        /// Of the last packet that reached the upstream.
        upstream_tag tag;
        /// Number of the next byte that it sends.
        std::uint32_t next_sequence = 0;
        /// Up to here the caller has what was sent.
        std::uint32_t acknowledged = 0;
        absl::flat_hash_set<std::uint32_t> requests;
    };

    struct work
    {
        flow_number flow;
        std::uint32_t request = 0;
        duration length{};
        std::uint32_t answer_length = answer_bytes;
        time_point ends_at{};
    };

    void open(caller_packet const& packet);
    void take_data(caller_packet const& packet, connection& known);
    void start_work();
    void finish(work const& done);
    void
    answer(work const& done, answer_status status, std::uint32_t answer_length);
    void send_until_acknowledged(
        upstream_packet const& packet, std::uint32_t bytes, int attempt);
    void send(caller_packet const& to, answer_kind kind, std::uint32_t sequence)
        const;
    [[nodiscard]] std::uint32_t first_sequence() const;

    registered_upstream self;
    upstream_shape shape;
    agenda& time;
    upstream_effects act;
    upstream_life state = upstream_life::serving;
    std::uint32_t factor = 1;
    bool fails_requests = false;
    time_point stalled_until;
    std::optional<time_point> drained_at;
    absl::flat_hash_map<flow_number, connection> connections;
    std::deque<work> waiting;
    /// Ends of the requests that have a slot.
    std::vector<time_point> running;
    /// Requests on their way, where that is known.
    std::deque<duration> expected;
    std::uint64_t run_count = 0;
};

} // namespace cairnhead::emulator
