#pragma once

#include <event/effect.hpp>
#include <rating/request_observation.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <vector>

namespace cairnhead
{

/// Whether an observation differs from what is usual: it is slow, short or
/// unanswered. No precondition. Thread safety: no shared state.
[[nodiscard]] bool is_notable(request_observation const& observation);

/// Sends observations to the VMs that collect them, batched, within a budget
/// of datagrams.
///
/// Load pattern: with hundreds of VMs and thousands of upstreams each request
/// of a VM is for another collector, so that a batch holds one observation and
/// the budget covers a part of them. Half of the datagrams go to collectors
/// that notable observations wait for, the others to any, and each listing
/// tells which share of either was sampled: work in hand would otherwise be
/// underestimated, and the share of short answers overestimated. If notable
/// observations took the whole budget, nothing would be left to compare with.
/// No method has a precondition; none is thread-safe.
class observation_sender
{
public:
    /// How long observations are batched.
    static constexpr duration batch_period = std::chrono::milliseconds(200);
    /// Datagrams in any second.
    static constexpr std::size_t maximum_datagrams_per_second = 16;

    explicit observation_sender(std::uint64_t seed);

    /// Queues an observation for its collector.
    void
    add(time_point now, vm_id collector, request_observation const& observed);

    /// Sends what is due. Returns the number of datagrams.
    std::size_t advance(time_point now, effect_list& effects);

    /// When `advance` has to be called next; nothing while the queue is empty.
    [[nodiscard]] std::optional<time_point> next_due() const;

    /// Drops what waits.
    void clear();

private:
    struct waiting_observation
    {
        vm_id collector;
        request_observation observed;
        time_point added_at;
        bool is_notable = false;
    };

    /// How many observations were sent lately, and how many were not.
    struct sampled_share
    {
        double sent = 0;
        double left_out = 0;

        void decay();
        [[nodiscard]] std::uint16_t permille() const;
    };

    [[nodiscard]] std::size_t take_allowance(time_point now);
    [[nodiscard]] std::vector<vm_id> choose_collectors(std::size_t count);
    [[nodiscard]] std::vector<request_observation> take_for(vm_id collector);
    void drop_unsent(time_point now);
    sampled_share& share_of(bool is_notable);

    std::mt19937_64 random;
    std::vector<waiting_observation> queue;
    std::optional<time_point> flush_at;
    /// When datagrams were sent in the last second.
    std::deque<time_point> sent_at;
    sampled_share usual;
    sampled_share notable;
};

} // namespace cairnhead
